import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** A sound replica of a plain service, which answers each request at once. */
final class Replica {

    private final String id;

    /** Receives each request that runs. */
    private final Consumer<Http.Message> runs;

    Replica(Store store, String id, String service, Consumer<Http.Message> runs)
            throws IOException {
        this.id = id;
        this.runs = runs;
        ServerSocket server = new ServerSocket(0, 500, InetAddress.getLoopbackAddress());
        Lab.daemon(() -> accept(server));
        store.put("servers", id, "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:"
                + server.getLocalPort() + "\",\"zone\":\"hall-a\",\"version\":\"v1\",\"slots\":6,"
                + "\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1}");
    }

    private void accept(ServerSocket server) throws IOException {
        while (true) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            Lab.daemon(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message each = Http.request(in); each != null; each = Http.request(in)) {
                boolean expected = each.header("X-Martenwell-Expected-Replica").equals(id);
                if (expected) {
                    runs.accept(each);
                }
                String head = "HTTP/1.1 " + (expected ? "200 OK" : "421 Misdirected Request")
                        + "\r\nX-Martenwell-Attempt-Id: " + each.header("X-Martenwell-Attempt-Id")
                        + "\r\nX-Martenwell-Replica-Signature: " + id
                        + "\r\nContent-Length: 2\r\n\r\nok";
                out.write(head.getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
            }
        }
    }
}
