import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.net.URLDecoder;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A client sends paths and queries with letters outside ASCII. Fails if a replica runs a request
 * whose path or query stands for other bytes than the client's. A refusal, and a path in which the
 * same bytes are percent-encoded, count as held.
 */
final class RawPath {

    private static final String[] TARGETS = {
        "/puxa403/citt\u00e0", "/puxa403/unit\u00e0/7", "/puxa403/2f?citt\u00e0=Trapani",
        "/puxa403/\u0644\u0627\u06c1\u0648\u0631"
    };

    private static final int ROUNDS = 5;

    private RawPath() {}

    public static void main(String[] arguments) {
        Lab.runCase(arguments[0], RawPath::play);
    }

    private static int play() throws Exception {
        Path folder = Lab.temporaryFolder();
        Map<String, String> targetsByAttempt = new ConcurrentHashMap<>();
        Store store = new Store();
        String tenant = Lab.tenant("hule930", "key-first");
        store.put("config", "main", Lab.configuration(1, Lab.LIMITS, tenant));
        for (String id : new String[] {"i-1", "i-2", "i-3"}) {
            new Replica(store, id, "wuno96b", request -> ran(id, request, targetsByAttempt));
        }
        Gateway gateway = new Gateway("edge-1", store, folder);
        gateway.awaitReady();

        int changed = 0;
        int answered = 0;
        for (int round = 0; round < ROUNDS; round++) {
            for (String each : TARGETS) {
                String target = Lab.trouble() ? each : percentEncoded(each);
                String attempt = Lab.attempt();
                Http.Message answer = Lab.send(gateway, attempt, target, "key-first");
                int status = answer == null ? 0 : answer.status();
                answered += status > 0 ? 1 : 0;
                Lab.log("sent " + attempt + " " + target + ", answer " + status);
                String ran = targetsByAttempt.get(attempt);
                if (ran != null && !bytes(ran).equals(bytes(target))) {
                    changed++;
                    Lab.log("CHANGED: a replica ran " + attempt + " as " + ran);
                }
            }
        }
        if (answered < ROUNDS * TARGETS.length) {
            Lab.log("RESULT could not run: only " + answered + " requests were answered");
            return Lab.NOT_RUN;
        }
        Lab.log(changed == 0
                ? "RESULT held: no request ran with another path or query"
                : "RESULT broken (UNASKED): " + changed + " requests ran with another one");
        return changed == 0 ? Lab.HELD : Lab.BROKEN;
    }

    private static void ran(String id, Http.Message request, Map<String, String> targetsByAttempt) {
        byte[] target = request.target().getBytes(StandardCharsets.ISO_8859_1);
        String text = new String(target, StandardCharsets.UTF_8);
        String attempt = request.header("X-Martenwell-Attempt-Id");
        targetsByAttempt.put(attempt, text);
        Lab.log(id + " runs " + attempt + " " + text);
    }

    /** Returns the text that a path stands for, whether or not it is percent-encoded. */
    private static String bytes(String target) {
        return URLDecoder.decode(target, StandardCharsets.UTF_8);
    }

    private static String percentEncoded(String target) {
        StringBuilder encoded = new StringBuilder();
        for (byte each : target.getBytes(StandardCharsets.UTF_8)) {
            encoded.append(each < 0 ? "%%%02X".formatted(each) : Character.toString(each));
        }
        return encoded.toString();
    }
}
