import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-ins of the users' platform for the review's scripts: the metadata store, replicas, clients, and the start of
 * gateways with the command of the deploy file. Everything listens on loopback addresses at free ports.
 */
final class Lab implements AutoCloseable {

    /** The file to which all that is sent, answered and run is written. */
    final PrintWriter record;

    final Path root;

    final Path temporary;

    final Store store;

    final List<Gateway> gateways = new ArrayList<>();

    final List<Replica> replicas = new ArrayList<>();

    private final long startNanos = System.nanoTime();

    /** Set once no process may be started any more. */
    private boolean ended;

    Lab(Path folder) throws IOException {
        root = Path.of("").toAbsolutePath();
        temporary = Files.createTempDirectory("martenwell-review");
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        store = new Store(this);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    synchronized void log(String format, Object... values) {
        record.printf(Locale.ROOT, "%7d ms  %s%n", millis(), String.format(Locale.ROOT, format, values));
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(null, task, "lab", 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    Replica replica(String service, int slots, Handler handler) throws IOException {
        Replica created = new Replica(this, "i-" + service + "-" + replicas.size(), service, slots, handler);
        replicas.add(created);
        return created;
    }

    Gateway gateway(String zone) throws IOException {
        Gateway created = new Gateway(this, "edge-" + zone + "-" + (gateways.size() + 1), zone);
        gateways.add(created);
        created.start();
        return created;
    }

    synchronized void endProcesses() {
        ended = true;
        for (Gateway each : gateways) {
            each.destroy();
        }
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        for (Gateway each : gateways) {
            each.copyLog();
        }
        record.close();
        try (var files = Files.walk(temporary)) {
            files.sorted((one, other) -> other.compareTo(one)).forEach(each -> each.toFile().delete());
        }
    }

    /** What a replica does with a request. */
    interface Handler {

        void handle(Exchange exchange) throws IOException;
    }

    /** A process of the deploy file's role. */
    static final class Gateway {

        private final Lab lab;

        final String name;

        final String zone;

        final int callerPort = freePort();

        final int readyPort = freePort();

        final int peerPort = freePort();

        final int metricsPort = freePort();

        double share = 0.75;

        String features = "[\"offload\", \"targetSpeeds\"]";

        volatile Process process;

        final Path log;

        Gateway(Lab lab, String name, String zone) throws IOException {
            this.lab = lab;
            this.name = name;
            this.zone = zone;
            this.log = lab.temporary.resolve(name + ".log");
        }

        void start() throws IOException {
            String settings =
                    "{\"name\":\"" + name + "\",\"failureDomain\":\"" + zone + "\",\"deployment\":\"operations\","
                            + "\"callerAddress\":\"127.0.0.1:" + callerPort + "\","
                            + "\"readinessAddress\":\"127.0.0.1:" + readyPort + "\","
                            + "\"peerAddress\":\"127.0.0.1:" + peerPort + "\","
                            + "\"directoryAddress\":\"127.0.0.1:" + lab.store.port + "\","
                            + "\"peerKey\":\"martenwell-gateways-of-one-operations-platform\","
                            + "\"metricsAddress\":\"127.0.0.1:" + metricsPort + "\","
                            + "\"processor\":{\"share\":" + share + ",\"speed\":1},\"stopSeconds\":8,"
                            + "\"retryShare\":0.2,\"retryAllowance\":58,\"retryWindowSeconds\":10,"
                            + "\"shareWindowSeconds\":4,\"features\":" + features + "}";
            Path file = lab.temporary.resolve(name + ".json");
            Files.writeString(file, settings);
            String run =
                    Files.readAllLines(lab.root.resolve("deploy/system.toml")).stream()
                            .filter(each -> each.startsWith("run = "))
                            .map(each -> each.substring(each.indexOf('"') + 1, each.lastIndexOf('"')))
                            .findFirst()
                            .orElseThrow();
            ProcessBuilder builder = new ProcessBuilder(run.split(" "));
            builder.directory(lab.root.toFile());
            builder.environment().put("MARTENWELL_BOOT", file.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            synchronized (lab) {
                if (lab.ended) {
                    return;
                }
                process = builder.start();
            }
            lab.log("gateway %s starts, process %d, callers at %d", name, process.pid(), callerPort);
        }

        boolean ready() {
            try (Client client = new Client(lab, readyPort)) {
                client.socket.setSoTimeout(1_000);
                client.send("GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
                return client.read().status == 200;
            } catch (IOException exception) {
                return false;
            }
        }

        boolean awaitReady(long millis) {
            long until = lab.millis() + millis;
            while (lab.millis() < until) {
                if (ready()) {
                    lab.log("gateway %s is ready", name);
                    return true;
                }
                sleep(100);
            }
            lab.log("gateway %s is not ready after %d ms", name, millis);
            return false;
        }

        void signal(String signal) throws IOException {
            lab.log("gateway %s gets SIG%s", name, signal);
            try {
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
            } catch (InterruptedException exception) {
                throw new IllegalStateException(exception);
            }
        }

        void destroy() {
            Process running = process;
            if (running != null && running.isAlive()) {
                running.destroyForcibly();
                running.onExit().join();
            }
        }

        String metrics() {
            try (Client client = new Client(lab, metricsPort)) {
                client.socket.setSoTimeout(3_000);
                client.send("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
                return new String(client.read().body, StandardCharsets.UTF_8);
            } catch (IOException exception) {
                return "";
            }
        }

        void copyLog() throws IOException {
            if (System.getProperty("lab.logs") != null && Files.exists(log)) {
                Files.copy(log, Path.of(System.getProperty("lab.logs")).resolve(name + ".log"),
                        java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            }
        }

        List<String> logLines(String part) throws IOException {
            return Files.readAllLines(log).stream().filter(each -> each.contains(part)).toList();
        }
    }

    /** A response as a client reads it. */
    static final class Answer {

        int status;

        final Map<String, String> headers = new HashMap<>();

        byte[] body = {};

        boolean complete;

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    /** A client's connection. */
    static final class Client implements AutoCloseable {

        final Lab lab;

        final Socket socket;

        final InputStream in;

        final OutputStream out;

        Client(Lab lab, int port) throws IOException {
            this(lab, port, 0);
        }

        Client(Lab lab, int port, int receiveBuffer) throws IOException {
            this.lab = lab;
            socket = new Socket();
            if (receiveBuffer > 0) {
                socket.setReceiveBufferSize(receiveBuffer);
            }
            socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream(), 4_096);
            out = socket.getOutputStream();
        }

        void send(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        void send(String head, byte[] body) throws IOException {
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
        }

        /** Reads a head; the body follows by {@link #read()}. */
        Answer readHead() throws IOException {
            Answer answer = new Answer();
            String line = line(in);
            if (!line.startsWith("HTTP/1.1 ")) {
                throw new IOException("No answer of the protocol: " + line);
            }
            answer.status = Integer.parseInt(line.substring(9, 12));
            readHeaders(in, answer.headers);
            return answer;
        }

        /** Reads a whole answer; {@code complete} tells whether its framing showed its end. */
        Answer read() throws IOException {
            Answer answer = readHead();
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            try {
                readBody(answer, body);
            } catch (IOException exception) {
                lab.log("an answer ends early: %s", exception);
            }
            answer.body = body.toByteArray();
            return answer;
        }

        private void readBody(Answer answer, ByteArrayOutputStream body) throws IOException {
            if (answer.header("transfer-encoding").contains("chunked")) {
                while (true) {
                    int size = Integer.parseInt(line(in).split(";")[0].strip(), 16);
                    if (size == 0) {
                        line(in);
                        answer.complete = true;
                        return;
                    }
                    copy(in, body, size);
                    line(in);
                }
            } else if (answer.headers.containsKey("content-length")) {
                copy(in, body, Integer.parseInt(answer.header("content-length")));
                answer.complete = true;
            } else {
                byte[] buffer = new byte[8_192];
                for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                    body.write(buffer, 0, count);
                }
                answer.complete = true;
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** A request at a replica. */
    static final class Exchange {

        final Replica replica;

        final Socket socket;

        final OutputStream out;

        final String method;

        final String target;

        final Map<String, String> headers;

        final byte[] body;

        boolean close;

        Exchange(Replica replica, Socket socket, String[] start, Map<String, String> headers, byte[] body)
                throws IOException {
            this.replica = replica;
            this.socket = socket;
            this.out = socket.getOutputStream();
            this.method = start[0];
            this.target = start[1];
            this.headers = headers;
            this.body = body;
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String id() {
            return header("X-Martenwell-Attempt-Id");
        }

        String head(int status, String more) {
            return "HTTP/1.1 " + status + " X\r\nX-Martenwell-Attempt-Id: " + id() + "\r\n" + more;
        }

        String signature() {
            return "X-Martenwell-Replica-Signature: " + replica.id + "." + id() + "\r\n";
        }

        void respond(int status, String more, byte[] content) throws IOException {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write((head(status, more) + "Content-Length: " + content.length + "\r\n\r\n").getBytes(
                    StandardCharsets.ISO_8859_1));
            all.write(content);
            out.write(all.toByteArray());
            out.flush();
        }

        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        void chunk(String text) throws IOException {
            write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
    }

    /** A replica of a service: it answers 421 to requests for another one, and counts what it runs. */
    static final class Replica {

        final Lab lab;

        final String id;

        final String service;

        final int slots;

        final int port;

        final Handler handler;

        volatile ServerSocket server;

        volatile String zone = "zone-a";

        volatile String version = "v1";

        volatile String state = "ready";

        final AtomicInteger active = new AtomicInteger();

        /** The number of runs of each attempt. */
        static final Map<String, AtomicInteger> RUNS = new ConcurrentHashMap<>();

        final java.util.Set<Socket> sockets = ConcurrentHashMap.newKeySet();

        Replica(Lab lab, String id, String service, int slots, Handler handler) throws IOException {
            this.lab = lab;
            this.id = id;
            this.service = service;
            this.slots = slots;
            this.handler = handler;
            server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
            port = server.getLocalPort();
            listen();
        }

        void listen() {
            ServerSocket accepting = server;
            daemon(
                    () -> {
                        while (!accepting.isClosed()) {
                            try {
                                Socket socket = accepting.accept();
                                sockets.add(socket);
                                daemon(() -> serve(socket));
                            } catch (IOException exception) {
                                return;
                            }
                        }
                    });
        }

        /** Enters the replica in the store. */
        void enter() {
            lab.store.put(
                    "servers",
                    id,
                    "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
                            + "\",\"version\":\"" + version + "\",\"slots\":" + slots + ",\"state\":\"" + state
                            + "\",\"cold_remaining_ms\":0,\"phase\":\"unified\",\"models\":[{\"name\":\"m\","
                            + "\"version\":1,\"adapters\":[]}],\"sequence\":1}");
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
                boolean open = true;
                while (open) {
                    String line = line(in);
                    Map<String, String> headers = new HashMap<>();
                    readHeaders(in, headers);
                    ByteArrayOutputStream body = new ByteArrayOutputStream();
                    copy(in, body, Integer.parseInt(headers.getOrDefault("content-length", "0")));
                    Exchange exchange = new Exchange(this, socket, line.split(" "), headers, body.toByteArray());
                    open = answer(exchange);
                }
            } catch (IOException | RuntimeException exception) {
                // The gateway closed the connection.
            } finally {
                sockets.remove(socket);
            }
        }

        private boolean answer(Exchange exchange) throws IOException {
            if (exchange.target.startsWith("/v1/kv-events")) {
                sleep(900);
                exchange.respond(200, "", "{\"epoch\":1,\"next_page_token\":0,\"lost\":false,\"events\":[]}".getBytes());
                return true;
            }
            if (exchange.target.startsWith("/v1/kv-list")) {
                exchange.respond(200, "", "{\"epoch\":1,\"next_page_token\":0,\"held\":[]}".getBytes());
                return true;
            }
            if (!exchange.header("X-Martenwell-Expected-Replica").equals(id)) {
                lab.log("%s answers 421 to %s", id, exchange.id());
                exchange.respond(421, "X-Martenwell-Replica-Id: " + id + "\r\n", new byte[0]);
                return true;
            }
            active.incrementAndGet();
            try {
                handler.handle(exchange);
            } finally {
                active.decrementAndGet();
            }
            return !exchange.close;
        }

        /** Records that this replica begins to run a request. */
        int ran(Exchange exchange) {
            int count = RUNS.computeIfAbsent(exchange.id(), each -> new AtomicInteger()).incrementAndGet();
            lab.log("%s runs %s (run %d of it)", id, exchange.id(), count);
            return count;
        }

        static int runs(String attempt) {
            AtomicInteger count = RUNS.get(attempt);
            return count == null ? 0 : count.get();
        }
    }

    /** The platform's store. */
    static final class Store {

        final Lab lab;

        final int port;

        private final TreeMap<String, TreeMap<String, Entry>> kinds = new TreeMap<>();

        private final List<Event> events = new ArrayList<>();

        private long revision = 1;

        /** Decides what a call meets; {@code null} serves it. */
        volatile Fault fault = (gateway, method, path) -> Effect.SERVE;

        final AtomicLong calls = new AtomicLong();

        record Entry(String name, long revision, long made, String spec, String status) {

            String json() {
                return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + revision + ",\"made\":" + made
                        + ",\"finalizers\":[],\"deleting\":false},\"spec\":" + spec + ",\"status\":" + status + "}";
            }
        }

        record Event(String kind, Entry entry, boolean gone, long revision) {}

        enum Effect {
            SERVE,
            BUSY,
            SILENT,
            /** The call is done and its connection says nothing more. */
            LOST
        }

        interface Fault {

            Effect on(String peer, String method, String path);
        }

        Store(Lab lab) throws IOException {
            this.lab = lab;
            ServerSocket server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
            port = server.getLocalPort();
            daemon(
                    () -> {
                        while (true) {
                            try {
                                Socket socket = server.accept();
                                daemon(() -> serve(socket));
                            } catch (IOException exception) {
                                return;
                            }
                        }
                    });
        }

        synchronized Entry get(String kind, String name) {
            return kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        }

        synchronized Entry put(String kind, String name, String spec) {
            TreeMap<String, Entry> all = kinds.computeIfAbsent(kind, each -> new TreeMap<>());
            Entry before = all.get(name);
            if (before != null && before.spec().equals(spec)) {
                return before;
            }
            revision++;
            Entry entry = new Entry(name, revision, before == null ? revision : before.made(), spec, "null");
            all.put(name, entry);
            events.add(new Event(kind, entry, false, revision));
            notifyAll();
            return entry;
        }

        synchronized boolean remove(String kind, String name) {
            Entry removed = kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
            if (removed == null) {
                return false;
            }
            revision++;
            events.add(new Event(kind, removed, true, revision));
            notifyAll();
            return true;
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream(), 8_192);
                while (true) {
                    String[] start = line(in).split(" ");
                    Map<String, String> headers = new HashMap<>();
                    readHeaders(in, headers);
                    ByteArrayOutputStream body = new ByteArrayOutputStream();
                    copy(in, body, Integer.parseInt(headers.getOrDefault("content-length", "0")));
                    calls.incrementAndGet();
                    Effect effect = fault.on(headers.getOrDefault("host", ""), start[0], start[1]);
                    if (effect == Effect.SILENT) {
                        sleep(60_000);
                        return;
                    }
                    if (effect == Effect.BUSY) {
                        respond(socket, 503, "{}");
                        continue;
                    }
                    Object[] answer = call(start[0], start[1], body.toString(StandardCharsets.UTF_8));
                    if (effect == Effect.LOST) {
                        sleep(60_000);
                        return;
                    }
                    sleep(1);
                    respond(socket, (Integer) answer[0], (String) answer[1]);
                }
            } catch (IOException | RuntimeException exception) {
                // The gateway closed the connection.
            }
        }

        private static void respond(Socket socket, int status, String body) throws IOException {
            byte[] content = body.getBytes(StandardCharsets.UTF_8);
            byte[] head =
                    ("HTTP/1.1 " + status + " X\r\nStore-Era: 1\r\nContent-Type: application/json\r\nContent-Length: "
                                    + content.length + "\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1);
            byte[] all = new byte[head.length + content.length];
            System.arraycopy(head, 0, all, 0, head.length);
            System.arraycopy(content, 0, all, head.length, content.length);
            socket.getOutputStream().write(all);
        }

        private Object[] call(String method, String target, String body) {
            URI uri = URI.create(target);
            String[] path = uri.getPath().substring("/v1/objects/".length()).split("/");
            Map<String, String> query = new HashMap<>();
            if (uri.getRawQuery() != null) {
                for (String each : uri.getRawQuery().split("&")) {
                    String[] pair = each.split("=", 2);
                    query.put(pair[0], pair.length > 1 ? URLDecoder.decode(pair[1], StandardCharsets.UTF_8) : "");
                }
            }
            switch (method) {
                case "GET":
                    if (path.length > 1) {
                        Entry found = get(path[0], path[1]);
                        return found == null ? new Object[] {404, "{}"} : new Object[] {200, found.json()};
                    }
                    return query.containsKey("watch")
                            ? watch(path[0], Long.parseLong(query.get("watch")), Long.parseLong(
                                    query.getOrDefault("wait_ms", "0")))
                            : list(path[0], query.get("since_revision"));
                case "POST":
                    synchronized (this) {
                        String name = textOf(body, "name");
                        Entry found = get(path[0], name);
                        return found != null
                                ? new Object[] {409, found.json()}
                                : new Object[] {201, put(path[0], name, specOf(body)).json()};
                    }
                case "PUT":
                    synchronized (this) {
                        return get(path[0], path[1]) == null
                                ? new Object[] {404, "{}"}
                                : new Object[] {200, put(path[0], path[1], specOf(body)).json()};
                    }
                default:
                    return remove(path[0], path[1]) ? new Object[] {200, "{}"} : new Object[] {404, "{}"};
            }
        }

        private static String textOf(String body, String name) {
            int key = body.indexOf("\"" + name + "\"");
            int begin = body.indexOf('"', body.indexOf(':', key)) + 1;
            return body.substring(begin, body.indexOf('"', begin));
        }

        private static String specOf(String body) {
            int begin = body.indexOf("\"spec\"");
            int from = body.indexOf(':', begin) + 1;
            int depth = 0;
            for (int index = from; index < body.length(); index++) {
                char each = body.charAt(index);
                if (each == '{') {
                    depth++;
                } else if (each == '}') {
                    depth--;
                    if (depth == 0) {
                        return body.substring(from, index + 1).strip();
                    }
                }
            }
            return "{}";
        }

        private synchronized Object[] list(String kind, String after) {
            StringBuilder items = new StringBuilder();
            for (Entry each : kinds.getOrDefault(kind, new TreeMap<>()).values()) {
                if (after == null || each.name().compareTo(after) > 0) {
                    items.append(items.length() == 0 ? "" : ",").append(each.json());
                }
            }
            return new Object[] {200, "{\"items\":[" + items + "],\"more\":false,\"at\":" + revision + "}"};
        }

        private synchronized Object[] watch(String kind, long since, long waitMillis) {
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
            while (true) {
                StringBuilder found = new StringBuilder();
                for (Event each : events) {
                    if (each.revision() > since && each.kind().equals(kind)) {
                        found.append(found.length() == 0 ? "" : ",")
                                .append("{\"gone\":" + each.gone() + ",\"object\":" + each.entry().json() + "}");
                    }
                }
                long left = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime());
                if (found.length() > 0 || left <= 0) {
                    return new Object[] {200, "{\"events\":[" + found + "],\"at\":" + revision + "}"};
                }
                try {
                    wait(left);
                } catch (InterruptedException exception) {
                    throw new IllegalStateException(exception);
                }
            }
        }
    }

    static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("closed");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    static void readHeaders(InputStream in, Map<String, String> headers) throws IOException {
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
    }

    static void copy(InputStream in, ByteArrayOutputStream out, int count) throws IOException {
        byte[] buffer = new byte[Math.min(65_536, Math.max(1, count))];
        int left = count;
        while (left > 0) {
            int read = in.read(buffer, 0, Math.min(buffer.length, left));
            if (read < 0) {
                throw new EOFException("closed");
            }
            out.write(buffer, 0, read);
            left -= read;
        }
    }

    /** A route of the configuration. */
    static String route(
            String name, String prefix, String type, String service, int timeout, int attempts, boolean resumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"site.example\",\"path_prefix\":\"" + prefix + "\",\"type\":\""
                + type + "\",\"timeout_ms\":" + timeout + ",\"slo_ms\":400,\"priority\":1,\"service\":\"" + service
                + "\",\"max_attempts\":" + attempts + ",\"anonymous\":false,\"sticky\":" + type.equals("streaming")
                + ",\"resumable\":" + resumable + ",\"itl_target_ms\":300}";
    }

    /** The configuration of a small deployment: an application, and engines with streams. */
    void configure(int version, String... routes) {
        store.put(
                "config",
                "main",
                "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
                        + "{\"name\":\"app\",\"health_path\":\"/healthz\",\"max_connections\":370,\"protocol\":\"h1\","
                        + "\"tls\":false},"
                        + "{\"name\":\"pool\",\"health_path\":\"/healthz\",\"max_connections\":370,\"protocol\":"
                        + "\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"kv_capacity_tokens\":511815,"
                        + "\"moves\":false}}],"
                        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                        + "\"header_timeout_ms\":10000,\"idle_timeout_ms\":10000,\"tokens_per_s\":60000},"
                        + "\"tenants\":[{\"name\":\"clinic\",\"priority\":1,\"api_keys\":[\"key-clinic\"]}]}");
        log("the store acknowledges configuration %d", version);
    }

    static String head(String method, String path, String id, int deadline, int length, String more) {
        return method + " " + path + " HTTP/1.1\r\nHost: site.example\r\nX-Martenwell-Attempt-Id: " + id
                + "\r\nX-Martenwell-Deadline-Ms: " + deadline + "\r\nAuthorization: Bearer key-clinic\r\n" + more
                + (length >= 0 ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }
}
