import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All gateways are killed at once in the middle of a release, when replicas of two versions serve. They are started again
 * at once. Clients take their streams up again.
 */
final class StreamsBehindKill {

    private static final int STREAMS = 24;

    private static final int EVENTS = 60;

    private static final int PAUSE_MILLIS = 100;

    private static final int DEADLINE_MILLIS = 15_000;

    private static final long CONTACT_MILLIS = 3_000;

    private static final AtomicInteger NUMBERS = new AtomicInteger();

    private static volatile long inTouchMillis = Long.MAX_VALUE;

    private static volatile boolean broken;

    /** Whether each new stream that was sent to a gateway in touch began. */
    private static final List<Boolean> NEW_STREAMS = Collections.synchronizedList(new ArrayList<>());

    private static final class Stream {

        final String id;

        long sentMillis;

        int lastEvent;

        boolean begun;

        int triesInTouch;

        boolean goesOn;

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
        for (int index = 0; index < 6; index++) {
            Lab.Replica replica = lab.replica("pool", 64, StreamsBehindKill::stream);
            replica.version = index < 4 ? "v1" : "v2";
            lab.log("%s is of version %s", replica.id, replica.version);
            replica.enter();
        }
        lab.configure(1, Lab.route("plan", "/plan/", "streaming", "pool", DEADLINE_MILLIS, 2, true));
        List<Lab.Gateway> gateways = new ArrayList<>();
        for (String each : List.of("zone-a", "zone-b", "zone-c")) {
            gateways.add(lab.gateway(each));
        }
        for (Lab.Gateway each : gateways) {
            if (!each.awaitReady(15_000)) {
                return 2;
            }
        }
        Lab.sleep(3_000);
        List<Stream> streams = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int index = 0; index < STREAMS; index++) {
            Stream stream = new Stream("stream-" + index);
            Lab.Gateway gateway = gateways.get(index % 3);
            streams.add(stream);
            threads.add(Lab.daemon(() -> call(lab, gateways, gateway, stream)));
        }
        Lab.sleep(1_500);
        if (Lab.trouble()) {
            for (Lab.Gateway each : gateways) {
                each.signal("KILL");
            }
            broken = true;
            for (Lab.Gateway each : gateways) {
                each.process.waitFor();
            }
            Lab.sleep(500);
            for (Lab.Gateway each : gateways) {
                each.start();
            }
            for (Lab.Gateway each : gateways) {
                if (!each.awaitReady(15_000)) {
                    return 2;
                }
            }
        } else {
            broken = true;
            lab.log("the clients' connections break");
        }
        inTouchMillis = lab.millis() + CONTACT_MILLIS;
        Thread newStreams = Lab.daemon(() -> beginStreams(lab, gateways));
        for (Thread each : threads) {
            each.join(30_000);
        }
        newStreams.join(30_000);
        return judge(lab, streams);
    }

    private static int judge(Lab lab, List<Stream> streams) {
        int taken = 0;
        int going = 0;
        for (Stream each : streams) {
            if (each.begun && each.triesInTouch > 0) {
                taken++;
                going += each.goesOn ? 1 : 0;
            }
        }
        long begun = NEW_STREAMS.stream().filter(each -> each).count();
        double newShare = NEW_STREAMS.isEmpty() ? 0 : (double) begun / NEW_STREAMS.size();
        double share = taken == 0 ? 0 : (double) going / taken;
        boolean lost = taken >= 12 && share < newShare / 2;
        String summary =
                String.format(
                        "streams taken up at gateways in touch %d, of these go on %d; new streams %d, begun %d%s",
                        taken, going, NEW_STREAMS.size(), begun, lost ? ": LOST" : "");
        lab.log("%s", summary);
        System.out.println(summary);
        return taken < 12 || NEW_STREAMS.isEmpty() ? 2 : lost ? 1 : 0;
    }

    private static void stream(Lab.Exchange exchange) throws IOException {
        exchange.replica.ran(exchange);
        int last = exchange.header("Last-Event-Id").isEmpty() ? 0 : Integer.parseInt(exchange.header("Last-Event-Id"));
        exchange.write(
                exchange.head(
                        200,
                        exchange.signature()
                                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
        for (int number = last + 1; number <= EVENTS; number++) {
            exchange.chunk("id: " + number + "\ndata: " + exchange.replica.version + " " + number + "\n\n");
            Lab.sleep(PAUSE_MILLIS);
        }
        exchange.write("0\r\n\r\n");
    }

    private static String head(String id, long deadline, String more) {
        return Lab.head(
                "POST",
                "/plan/x",
                id,
                (int) deadline,
                2,
                "X-Martenwell-Model: m\r\nX-Martenwell-Token-Usage: 100,100\r\nX-Martenwell-Prompt-Prefix: aa:90,"
                        + Integer.toHexString(id.hashCode()) + ":10\r\n" + more);
    }

    /** Begins a stream, and takes it up again at another gateway until it goes on or its deadline has passed. */
    private static void call(Lab lab, List<Lab.Gateway> gateways, Lab.Gateway first, Stream stream) {
        stream.sentMillis = lab.millis();
        try (Lab.Client client = new Lab.Client(lab, first.callerPort)) {
            client.socket.setSoTimeout(5_000);
            client.send(head(stream.id, DEADLINE_MILLIS, ""), "{}".getBytes());
            Lab.Answer answer = client.readHead();
            stream.begun = answer.status == 200;
            while (stream.begun && !broken) {
                readEvent(client, stream);
            }
        } catch (IOException exception) {
            lab.log("%s: its connection ends behind event %d: %s", stream.id, stream.lastEvent, exception);
        }
        if (!stream.begun || stream.lastEvent == 0) {
            stream.begun = false;
            return;
        }
        int tries = 0;
        while (!stream.goesOn && lab.millis() < stream.sentMillis + DEADLINE_MILLIS - 500) {
            Lab.sleep(700);
            takeUp(lab, gateways.get(tries % 3), stream, ++tries);
        }
    }

    private static void takeUp(Lab lab, Lab.Gateway gateway, Stream stream, int number) {
        String id = stream.id + "-again-" + number;
        long sentMillis = lab.millis();
        long deadline = stream.sentMillis + DEADLINE_MILLIS - sentMillis;
        try (Lab.Client client = new Lab.Client(lab, gateway.callerPort)) {
            client.socket.setSoTimeout((int) Math.max(1, deadline));
            client.send(
                    head(id, deadline, "Last-Event-Id: " + stream.lastEvent + "\r\nResumes: " + stream.id + "\r\n"),
                    "{}".getBytes());
            Lab.Answer answer = client.readHead();
            boolean inTouch = sentMillis >= inTouchMillis;
            stream.triesInTouch += inTouch ? 1 : 0;
            lab.log(
                    "%s: %s answers %d behind event %d%s",
                    id, gateway.name, answer.status, stream.lastEvent, inTouch ? ", in touch" : "");
            if (answer.status == 200) {
                readEvent(client, stream);
                stream.goesOn = true;
                stream.triesInTouch += inTouch ? 0 : 1;
            }
        } catch (IOException exception) {
            lab.log("%s: %s", id, exception);
        }
    }

    private static void readEvent(Lab.Client client, Stream stream) throws IOException {
        int size = Integer.parseInt(Lab.line(client.in), 16);
        ByteArrayOutputStream piece = new ByteArrayOutputStream();
        Lab.copy(client.in, piece, size);
        Lab.line(client.in);
        if (size == 0) {
            throw new IOException("the stream has ended");
        }
        for (String line : piece.toString(StandardCharsets.UTF_8).split("\n")) {
            if (line.startsWith("id: ")) {
                stream.lastEvent = Integer.parseInt(line.substring(4));
            }
        }
    }

    /** Begins new streams at gateways in touch, as long as others are taken up. */
    private static void beginStreams(Lab lab, List<Lab.Gateway> gateways) {
        while (lab.millis() < inTouchMillis) {
            Lab.sleep(50);
        }
        for (int index = 0; index < 18; index++) {
            String id = "new-" + NUMBERS.incrementAndGet();
            try (Lab.Client client = new Lab.Client(lab, gateways.get(index % 3).callerPort)) {
                client.socket.setSoTimeout(5_000);
                client.send(head(id, DEADLINE_MILLIS, ""), "{}".getBytes());
                int status = client.readHead().status;
                lab.log("%s: answered %d", id, status);
                NEW_STREAMS.add(status == 200);
            } catch (IOException exception) {
                lab.log("%s: %s", id, exception);
                NEW_STREAMS.add(false);
            }
            Lab.sleep(200);
        }
    }
}
