import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in of the platform's metadata store: lists, watches, POST, PUT and DELETE of objects. */
final class Store {

    private static final String PREFIX = "/v1/objects/";

    /** An object with its last change. */
    private record StoredObject(String kind, String name, long revision, String spec) {

        String json() {
            return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + revision
                    + ",\"made\":1,\"finalizers\":[],\"deleting\":false},\"spec\":" + spec
                    + ",\"status\":null}";
        }
    }

    private record Change(StoredObject object, long revision, boolean gone) {}

    private record Answer(int status, String body) {}

    final int port;

    private final TreeMap<String, StoredObject> objects = new TreeMap<>();

    private final List<Change> history = new ArrayList<>();

    private long revision = 100;

    Store() throws IOException {
        ServerSocket server = new ServerSocket(0, 500, InetAddress.getLoopbackAddress());
        port = server.getLocalPort();
        Lab.daemon(() -> accept(server));
    }

    private void accept(ServerSocket server) throws IOException {
        while (true) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            Lab.daemon(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message call = Http.request(in); call != null; call = Http.request(in)) {
                Answer answer = answer(call);
                byte[] body = answer.body.getBytes(StandardCharsets.UTF_8);
                String head = "HTTP/1.1 " + answer.status + " Status\r\n"
                        + "Content-Type: application/json\r\nContent-Length: " + body.length
                        + "\r\n\r\n";
                out.write(head.getBytes(StandardCharsets.US_ASCII));
                out.write(body);
                out.flush();
            }
        }
    }

    /** Writes an object. A write that changes nothing raises no revision. */
    synchronized void put(String kind, String name, String spec) {
        StoredObject present = objects.get(kind + "/" + name);
        if (present == null || !present.spec.equals(spec)) {
            StoredObject written = new StoredObject(kind, name, ++revision, spec);
            objects.put(kind + "/" + name, written);
            history.add(new Change(written, revision, false));
            notifyAll();
        }
    }

    private void remove(StoredObject object) {
        objects.remove(object.kind + "/" + object.name);
        history.add(new Change(object, ++revision, true));
        notifyAll();
    }

    private synchronized Answer answer(Http.Message call) throws InterruptedException {
        String[] target = call.target().split("\\?", 2);
        String[] path = target[0].substring(PREFIX.length()).split("/");
        Map<String, String> query = query(target.length > 1 ? target[1] : "");
        StoredObject object = path.length > 1 ? objects.get(path[0] + "/" + path[1]) : null;
        String method = call.first.split(" ")[0];
        String body = new String(call.body, StandardCharsets.UTF_8);
        if (method.equals("GET") && path.length == 1) {
            return query.containsKey("watch") ? watch(path[0], query) : list(path[0], query);
        }
        if (method.equals("POST")) {
            String key = path[0] + "/" + nameOf(body);
            boolean exists = objects.containsKey(key);
            if (!exists) {
                put(path[0], nameOf(body), specOf(body));
            }
            return new Answer(exists ? 409 : 201, objects.get(key).json());
        }
        if (object == null) {
            return new Answer(404, "{}");
        }
        if (method.equals("PUT")) {
            put(path[0], path[1], specOf(body));
            return new Answer(200, objects.get(path[0] + "/" + path[1]).json());
        }
        if (method.equals("DELETE")) {
            String expected = query.getOrDefault("revision", Long.toString(object.revision));
            if (Long.parseLong(expected) != object.revision) {
                return new Answer(409, object.json());
            }
            remove(object);
        }
        return new Answer(200, object.json());
    }

    private Answer list(String kind, Map<String, String> query) {
        String after = query.getOrDefault("since_revision", "");
        List<String> items = new ArrayList<>();
        for (StoredObject each : objects.values()) {
            if (each.kind.equals(kind) && each.name.compareTo(after) > 0) {
                items.add(each.json());
            }
        }
        String list = String.join(",", items);
        return new Answer(200, "{\"items\":[" + list + "],\"more\":false,\"at\":" + revision + "}");
    }

    private Answer watch(String kind, Map<String, String> query) throws InterruptedException {
        long from = Long.parseLong(query.get("watch"));
        long end = Lab.millis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        while (true) {
            List<String> events = new ArrayList<>();
            for (Change each : history) {
                if (each.revision > from && each.object.kind.equals(kind)) {
                    events.add("{\"gone\":" + each.gone + ",\"object\":" + each.object.json() + "}");
                }
            }
            if (!events.isEmpty() || Lab.millis() >= end) {
                String list = String.join(",", events);
                return new Answer(200, "{\"events\":[" + list + "],\"at\":" + revision + "}");
            }
            wait(Math.max(1, end - Lab.millis()));
        }
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String each : text.split("&")) {
            String[] pair = each.split("=", 2);
            String value = pair.length > 1 ? pair[1] : "";
            query.put(pair[0], URLDecoder.decode(value, StandardCharsets.UTF_8));
        }
        return query;
    }

    private static String nameOf(String body) {
        int start = body.indexOf("\"name\":\"") + 8;
        return body.substring(start, body.indexOf('"', start));
    }

    private static String specOf(String body) {
        return body.substring(body.indexOf("\"spec\":") + 7, body.lastIndexOf('}'));
    }
}
