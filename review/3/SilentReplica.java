import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A planned stop while replicas are full: for 2.2 s they say nothing on the streams that they run, as preempted requests
 * are read again, and reject all others. Then they go on with each stream to its end.
 */
final class SilentReplica {

    private static final int STREAMS = 24;

    private static final int EVENTS = 40;

    private static final int PAUSE_MILLIS = 100;

    private static final int DEADLINE_MILLIS = 15_000;

    private static final long SILENCE_MILLIS = 2_200;

    private static final long GRACE_MILLIS = 8_000;

    private static final long JUDGED_MILLIS = GRACE_MILLIS * 5 / 6;

    /** The time at which the replicas have room again, on the lab's clock; 0 if they are not full. */
    private static volatile long fullUntilMillis;

    private static final class Stream {

        final String id;

        long sentMillis;

        long endedMillis;

        int lastEvent;

        boolean begun;

        boolean complete;

        Stream(String id) {
            this.id = id;
        }
    }

    public static void main(String[] arguments) throws Exception {
        int result = 2;
        try (Lab lab = new Lab(Path.of(arguments[0]))) {
            result = run(lab);
            lab.log("exit status %d", result);
        } catch (Exception exception) {
            exception.printStackTrace();
        }
        System.exit(result);
    }

    private static int run(Lab lab) throws Exception {
        for (int index = 0; index < 3; index++) {
            lab.replica("app", 6, exchange -> exchange.respond(200, exchange.signature(), new byte[800])).enter();
            lab.replica("pool", 64, SilentReplica::stream).enter();
        }
        lab.configure(
                1,
                Lab.route("status", "/status/", "idempotent", "app", 3_000, 2, false),
                Lab.route("plan", "/plan/", "streaming", "pool", DEADLINE_MILLIS, 2, true));
        Lab.Gateway gateway = lab.gateway("zone-a");
        Lab.Gateway other = lab.gateway("zone-b");
        if (!gateway.awaitReady(15_000) || !other.awaitReady(15_000)) {
            return 2;
        }
        Lab.sleep(1_500);
        List<Stream> streams = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int index = 0; index < STREAMS; index++) {
            Stream stream = new Stream("stream-" + index);
            streams.add(stream);
            threads.add(Lab.daemon(() -> call(lab, gateway, stream)));
            Lab.sleep(10);
        }
        Lab.sleep(500);
        long stopMillis = Long.MAX_VALUE;
        if (Lab.trouble()) {
            stopMillis = lab.millis();
            gateway.signal("TERM");
            Lab.sleep(700);
            lab.log("the replicas are full for %d ms", SILENCE_MILLIS);
            fullUntilMillis = lab.millis() + SILENCE_MILLIS;
        }
        for (Thread each : threads) {
            each.join(20_000);
        }
        if (Lab.trouble()) {
            gateway.process.waitFor(GRACE_MILLIS, TimeUnit.MILLISECONDS);
            lab.log("gateway %s has ended: %s", gateway.name, !gateway.process.isAlive());
        }
        return judge(lab, streams, stopMillis);
    }

    private static int judge(Lab lab, List<Stream> streams, long stopMillis) {
        int begun = 0;
        int whole = 0;
        int lost = 0;
        for (Stream each : streams) {
            begun += each.begun ? 1 : 0;
            whole += each.complete ? 1 : 0;
            if (!each.begun || each.complete) {
                continue;
            }
            long behindStop = each.endedMillis - stopMillis;
            boolean judged =
                    behindStop >= 0
                            && behindStop < JUDGED_MILLIS
                            && each.endedMillis - each.sentMillis < DEADLINE_MILLIS;
            lost += judged ? 1 : 0;
            lab.log(
                    "%s: cut behind event %d of %d, %d ms behind its request, %d ms behind SIGTERM: %s",
                    each.id,
                    each.lastEvent,
                    EVENTS,
                    each.endedMillis - each.sentMillis,
                    behindStop,
                    judged ? "LOST" : "not judged");
        }
        String summary =
                String.format("streams %d, begun %d, whole %d, LOST %d", streams.size(), begun, whole, lost);
        lab.log("%s", summary);
        System.out.println(summary);
        if (begun < STREAMS / 2) {
            return 2;
        }
        return lost > 0 || (!Lab.trouble() && whole < begun) ? 1 : 0;
    }

    private static void stream(Lab.Exchange exchange) throws IOException {
        Lab lab = exchange.replica.lab;
        if (lab.millis() < fullUntilMillis) {
            lab.log("%s rejects %s: it is full", exchange.replica.id, exchange.id());
            exchange.respond(503, "X-Martenwell-Not-Executed: 1\r\n", new byte[0]);
            return;
        }
        exchange.replica.ran(exchange);
        int last = exchange.header("Last-Event-Id").isEmpty() ? 0 : Integer.parseInt(exchange.header("Last-Event-Id"));
        exchange.write(
                exchange.head(
                        200,
                        exchange.signature()
                                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
        for (int number = last + 1; number <= EVENTS; number++) {
            while (lab.millis() < fullUntilMillis) {
                Lab.sleep(20);
            }
            exchange.chunk("id: " + number + "\ndata: " + exchange.id() + " " + number + "\n\n");
            Lab.sleep(PAUSE_MILLIS);
        }
        exchange.write("0\r\n\r\n");
        lab.log("%s ends %s", exchange.replica.id, exchange.id());
    }

    /** Sends a short request, then the request of a stream over the same connection. */
    private static void call(Lab lab, Lab.Gateway gateway, Stream stream) {
        try (Lab.Client client = new Lab.Client(lab, gateway.callerPort)) {
            client.socket.setSoTimeout(5_000);
            client.send(Lab.head("GET", "/status/x", stream.id + "-first", 3_000, -1, ""));
            client.read();
            String prompt =
                    "X-Martenwell-Model: m\r\nX-Martenwell-Token-Usage: 100,100\r\nX-Martenwell-Prompt-Prefix: aa:90,"
                            + Integer.toHexString(stream.id.hashCode()) + ":10\r\n";
            stream.sentMillis = lab.millis();
            client.send(Lab.head("POST", "/plan/x", stream.id, DEADLINE_MILLIS, 2, prompt), "{}".getBytes());
            Lab.Answer head = client.readHead();
            lab.log("%s: answered %d", stream.id, head.status);
            if (head.status == 200) {
                stream.begun = true;
                follow(lab, client, stream);
            }
        } catch (IOException exception) {
            lab.log("%s: %s", stream.id, exception);
        }
    }

    private static void follow(Lab lab, Lab.Client client, Stream stream) {
        try {
            while (true) {
                int size = Integer.parseInt(Lab.line(client.in), 16);
                ByteArrayOutputStream piece = new ByteArrayOutputStream();
                Lab.copy(client.in, piece, size);
                Lab.line(client.in);
                if (size == 0) {
                    stream.complete = true;
                    stream.endedMillis = lab.millis();
                    return;
                }
                for (String line : piece.toString(StandardCharsets.UTF_8).split("\n")) {
                    if (line.startsWith("id: ")) {
                        stream.lastEvent = Integer.parseInt(line.substring(4));
                    }
                }
            }
        } catch (IOException exception) {
            stream.endedMillis = lab.millis();
            lab.log("%s: its connection ends behind event %d: %s", stream.id, stream.lastEvent, exception);
        }
    }
}
