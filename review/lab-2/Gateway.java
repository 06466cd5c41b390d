import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** A gateway as a process of its own, started with the command of the deploy file. */
final class Gateway {

    final int frontend = freePort();

    private final int readiness = freePort();

    private final Process process;

    Gateway(String name, Store store, Path folder) throws IOException {
        Path settings = folder.resolve(name + ".json");
        Files.writeString(settings, settings(name, store));
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.environment().put("MARTENWELL_BOOT", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(folder.resolve(name + ".log").toFile());
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    /** Waits until the readiness check answers 200. */
    void awaitReady() throws InterruptedException {
        for (int tries = 0; tries < 200; tries++) {
            if (isReady()) {
                return;
            }
            Thread.sleep(100);
        }
        throw new IllegalStateException("The gateway is not ready.");
    }

    boolean isReady() {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), readiness)) {
            socket.setSoTimeout(1_000);
            String check = "GET /v1/readyz HTTP/1.1\r\nHost: gateway\r\nConnection: close\r\n\r\n";
            socket.getOutputStream().write(check.getBytes(StandardCharsets.US_ASCII));
            Http.Message answer = Http.head(new BufferedInputStream(socket.getInputStream()));
            return answer != null && answer.status() == 200;
        } catch (IOException exception) {
            return false;
        }
    }

    private String settings(String name, Store store) throws IOException {
        return "{\"name\":\"" + name + "\",\"failureDomain\":\"hall-a\","
                + "\"deployment\":\"operations\","
                + "\"callerAddress\":\"127.0.0.1:" + frontend + "\","
                + "\"readinessAddress\":\"127.0.0.1:" + readiness + "\","
                + "\"peerAddress\":\"127.0.0.1:" + freePort() + "\","
                + "\"metricsAddress\":\"127.0.0.1:" + freePort() + "\","
                + "\"directoryAddress\":\"127.0.0.1:" + store.port + "\","
                + "\"peerKey\":\"martenwell-gateways-of-one-operations-platform\","
                + "\"processor\":{\"share\":0.75,\"speed\":1},\"stopSeconds\":8,"
                + "\"retryShare\":0.2,\"retryAllowance\":58,\"retryWindowSeconds\":10,"
                + "\"shareWindowSeconds\":4,\"features\":[\"offload\",\"targetSpeeds\"]}";
    }

    private static String[] command() throws IOException {
        String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(each -> each.startsWith("run"))
                .findFirst()
                .orElseThrow();
        return run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" ");
    }

    private static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return probe.getLocalPort();
        }
    }
}
