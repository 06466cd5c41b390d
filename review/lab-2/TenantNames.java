import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A new version of the configuration adds tenants. Each tenant then sends requests with its own
 * key. Fails if a replica is told the same tenant for the keys of two tenants.
 */
final class TenantNames {

    /** Names of one length in Urdu: Lahore, Multan and Sialkot (shortened). */
    private static final String[] URDU = {
        "\u0644\u0627\u06c1\u0648\u0631", "\u0645\u0644\u062a\u0627\u0646",
        "\u0633\u06cc\u0627\u0644\u06a9"
    };

    private static final String[] PLAIN = {"lahore", "multan", "sialkot"};

    private static final int REQUESTS_PER_TENANT = 10;

    private TenantNames() {}

    public static void main(String[] arguments) {
        Lab.runCase(arguments[0], TenantNames::play);
    }

    private static int play() throws Exception {
        Path folder = Lab.temporaryFolder();
        String[] names = Lab.trouble() ? URDU : PLAIN;
        Map<String, String> tenantsByAttempt = new ConcurrentHashMap<>();
        Store store = new Store();
        String first = Lab.tenant("hule930", "key-first");
        store.put("config", "main", Lab.configuration(1, Lab.LIMITS, first));
        for (String id : new String[] {"i-1", "i-2", "i-3"}) {
            new Replica(store, id, "wuno96b", request -> ran(id, request, tenantsByAttempt));
        }
        Gateway gateway = new Gateway("edge-1", store, folder);
        gateway.awaitReady();

        StringBuilder tenants = new StringBuilder(first);
        for (int index = 0; index < names.length; index++) {
            tenants.append(',').append(Lab.tenant(names[index], "key-" + index));
        }
        store.put("config", "main", Lab.configuration(2, Lab.LIMITS, tenants.toString()));
        Lab.log("the store has acknowledged version 2 with tenants " + String.join(", ", names));
        Thread.sleep(3_000);

        Map<String, Set<String>> ownersByValue = new LinkedHashMap<>();
        int served = 0;
        for (int round = 0; round < REQUESTS_PER_TENANT; round++) {
            for (int index = 0; index < names.length; index++) {
                String attempt = Lab.attempt();
                Http.Message answer = Lab.send(gateway, attempt, "/puxa403/2f", "key-" + index);
                int status = answer == null ? 0 : answer.status();
                Lab.log("sent " + attempt + " with the key of " + names[index] + ", answer " + status);
                String value = tenantsByAttempt.get(attempt);
                if (value != null) {
                    served++;
                    ownersByValue.computeIfAbsent(value, key -> new HashSet<>()).add(names[index]);
                }
            }
        }
        if (served < names.length * REQUESTS_PER_TENANT / 2) {
            Lab.log("RESULT could not run: only " + served + " requests ran");
            return Lab.NOT_RUN;
        }
        Map<String, Set<String>> shared = new HashMap<>(ownersByValue);
        shared.values().removeIf(each -> each.size() < 2);
        Lab.log("tenants by the value that replicas were told: " + ownersByValue);
        Lab.log(shared.isEmpty()
                ? "RESULT held: each value stands for one tenant"
                : "RESULT broken (UNASKED): replicas were told the same tenant for " + shared);
        return shared.isEmpty() ? Lab.HELD : Lab.BROKEN;
    }

    private static void ran(String id, Http.Message request, Map<String, String> tenantsByAttempt) {
        String attempt = request.header("X-Martenwell-Attempt-Id");
        byte[] value = request.header("X-Martenwell-Tenant").getBytes(StandardCharsets.ISO_8859_1);
        String text = new String(value, StandardCharsets.UTF_8);
        tenantsByAttempt.put(attempt, text);
        Lab.log(id + " runs " + attempt + " for tenant " + text);
    }
}
