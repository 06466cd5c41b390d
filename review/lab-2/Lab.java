import java.io.BufferedInputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicLong;

/** What all cases share: the clock, the record, threads, the configuration and a client. */
final class Lab {

    /** What a thread does. */
    interface Task {
        void run() throws Exception;
    }

    /** The exit status if the rule held. */
    static final int HELD = 0;

    /** The exit status if the rule was broken. */
    static final int BROKEN = 1;

    /** The exit status if the case could not run. */
    static final int NOT_RUN = 2;

    private static final long STARTED_NANOS = System.nanoTime();

    private static final AtomicLong ATTEMPTS = new AtomicLong(STARTED_NANOS);

    private static PrintStream record = System.out;

    private Lab() {}

    static long millis() {
        return (System.nanoTime() - STARTED_NANOS) / 1_000_000;
    }

    /**
     * Plays a case, writes its record to a file and exits with its result. Whatever is thrown counts
     * as a case that could not run.
     */
    static void runCase(String file, Callable<Integer> play) {
        int result = NOT_RUN;
        try {
            record = new PrintStream(file, StandardCharsets.UTF_8);
            result = play.call();
        } catch (Throwable thrown) {
            log("RESULT could not run: " + thrown);
        }
        System.exit(result);
    }

    /** Creates a folder that is removed at the end, with the files in it. */
    static Path temporaryFolder() throws IOException {
        Path folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> remove(folder)));
        return folder;
    }

    private static void remove(Path folder) {
        File[] files = folder.toFile().listFiles();
        for (File each : files == null ? new File[0] : files) {
            each.delete();
        }
        folder.toFile().delete();
    }

    static synchronized void log(String line) {
        record.println(millis() + " ms  " + line);
        record.flush();
    }

    /** Runs a task on a thread of its own, which ends quietly with its connection. */
    static void daemon(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (Exception exception) {
                                // A connection has ended.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns whether the run includes the disruption. */
    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    static String attempt() {
        return Long.toHexString(ATTEMPTS.incrementAndGet());
    }

    /**
     * Returns a configuration with one route to one plain service.
     *
     * @param version The version.
     * @param limits The value of {@code limits}.
     * @param tenants The elements of {@code tenants}.
     */
    static String configuration(int version, String limits, String tenants) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-1\","
                + "\"host\":\"ficu95.example\",\"path_prefix\":\"/puxa403/\","
                + "\"type\":\"non_idempotent\",\"timeout_ms\":3000,\"slo_ms\":300,\"priority\":2,"
                + "\"service\":\"wuno96b\",\"max_attempts\":1,\"anonymous\":false}],"
                + "\"services\":[{\"name\":\"wuno96b\",\"health_path\":\"/healthz\","
                + "\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":" + limits + ",\"tenants\":[" + tenants + "]}";
    }

    static final String LIMITS =
            "{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                    + "\"idle_timeout_ms\":15000,\"tokens_per_s\":196000}";

    static String tenant(String name, String key) {
        return "{\"name\":\"" + name + "\",\"api_keys\":[\"" + key + "\"],\"priority\":1}";
    }

    /** Sends a request over a new connection; returns the response, {@code null} without one. */
    static Http.Message send(Gateway gateway, String attempt, String target, String key)
            throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), gateway.frontend)) {
            socket.setSoTimeout(4_000);
            String head = "POST " + target + " HTTP/1.1\r\nHost: ficu95.example\r\n"
                    + "X-Martenwell-Attempt-Id: " + attempt + "\r\n"
                    + "X-Martenwell-Deadline-Ms: 3000\r\nAuthorization: Bearer " + key + "\r\n"
                    + "Content-Length: 0\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            return Http.response(in);
        }
    }
}
