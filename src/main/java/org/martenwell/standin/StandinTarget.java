package org.martenwell.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.martenwell.configuration.PoolKind;
import org.martenwell.hash.RendezvousHash;
import org.martenwell.http.HeaderFields;
import org.martenwell.json.Json;
import org.martenwell.service.IpAddress;
import org.martenwell.service.Listening;
import org.martenwell.service.ManagedService;
import org.martenwell.target.LoadReport;
import org.martenwell.target.TargetOrder;

/** A stand-in target: a model engine or a plain service. It records what it ran. */
public final class StandinTarget implements AsyncServlet, ManagedService {

    /** How much of a prompt's start is hashed, in characters. */
    private static final int PREFIX_CHARACTERS = 512;

    /** The loop. */
    private final NioReactor reactor;

    /** The settings. */
    private final TargetSettings settings;

    /** Takes requests. */
    private final HttpServer server;

    /** The engine. */
    private final EngineCore engine;

    /** The prefixes that the engine holds. */
    private final PrefixCache cache = new PrefixCache();

    /** The forms of answers, by request id, for streams that are resumed. */
    private final Map<String, CompletionForms> forms = new LinkedHashMap<>();

    /** The runs of a plain service, by request id. */
    private final Map<String, RunRecord> serviceRuns = new LinkedHashMap<>();

    /** How many requests to a plain service run now. */
    private int serving;

    /** The time that slots of a plain service were in use, in milliseconds. */
    private long servedMillis;

    /** How it misbehaves. */
    private TargetFaults faults = TargetFaults.NONE;

    /** The highest fence seen. */
    private long fence;

    /** When the next step of the engine is due. */
    private double nextStepAt;

    /** {@code true} once stopped. */
    private boolean stopped;

    /**
     * Creates a target that does not run yet.
     *
     * @param reactor The loop.
     * @param settings The settings.
     */
    public StandinTarget(NioReactor reactor, TargetSettings settings) {
        this.reactor = reactor;
        this.settings = settings;
        this.engine = new EngineCore(settings);
        this.server =
                HttpServer.builder(reactor, this)
                        .withListenAddress(IpAddress.of(settings.address()))
                        .build();
    }

    @Override
    public Promise<Void> start() {
        return Listening.start(server).whenResult(this::startSteps);
    }

    /** Starts the engine's steps, if this is one. */
    private void startSteps() {
        nextStepAt = reactor.currentTimeMillis();
        if (settings.kind() == PoolKind.MODEL) {
            step();
        }
    }

    @Override
    public Promise<Void> stop() {
        stopped = true;
        return server.close().toVoid();
    }

    /**
     * Returns where it listens.
     *
     * @return The address.
     */
    public InetSocketAddress address() {
        return server.getBoundAddresses().get(0);
    }

    /**
     * Returns the settings.
     *
     * @return The settings.
     */
    public TargetSettings settings() {
        return settings;
    }

    /**
     * Changes how it misbehaves.
     *
     * @param changed The faults.
     */
    public void faults(TargetFaults changed) {
        faults = changed;
    }

    /**
     * Returns what was run.
     *
     * @return A record for each request.
     */
    public List<RunRecord> records() {
        return settings.kind() == PoolKind.MODEL
                ? engine.records()
                : List.copyOf(serviceRuns.values());
    }

    /**
     * Returns how much of its capacity was used.
     *
     * @return The use since the start.
     */
    public TargetUse use() {
        return new TargetUse(engine.produced(), engine.possible(), servedMillis);
    }

    /**
     * Returns its load.
     *
     * @return The report.
     */
    public LoadReport load() {
        boolean model = settings.kind() == PoolKind.MODEL;
        return new LoadReport(
                settings.slots(),
                model ? engine.running() : serving,
                model ? engine.waiting() : 0,
                faults.leaving(),
                settings.serves());
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) {
        String path = request.getPath();
        String route = request.getMethod() + " " + path;
        if (route.equals("GET /load")) {
            return Promise.of(json(load()));
        }
        if (route.equals("GET /runs")) {
            return Promise.of(json(records()));
        }
        if (route.equals("GET /cache-events")) {
            return Promise.of(json(cache.events(after(request))));
        }
        if (route.equals("POST /standin/faults")) {
            return request.loadBody()
                    .map(
                            body -> {
                                faults(Json.read(body.getArray(), TargetFaults.class));
                                return json(faults);
                            });
        }
        if (route.equals("POST /orders")) {
            return request.loadBody()
                    .map(body -> order(Json.read(body.getArray(), TargetOrder.class)));
        }
        if (path.startsWith("/v1/streams/")) {
            return stream(request, path.substring("/v1/streams/".length()));
        }
        if (faults.refuse() || faults.leaving()) {
            return Promise.of(
                    HttpResponse.ofCode(503)
                            .withHeader(HttpHeaders.of(HeaderFields.NOT_STARTED), "true")
                            .build());
        }
        return settings.kind() == PoolKind.MODEL ? complete(request) : runService(request);
    }

    /** Makes the engine's steps that are due and plans the next one. */
    private void step() {
        long now = reactor.currentTimeMillis();
        double interval = 1000 / settings.tokensPerSecond();
        while (nextStepAt <= now) {
            engine.step(now);
            nextStepAt += interval;
        }
        if (!stopped) {
            long delay = (long) Math.max(1, Math.ceil(nextStepAt - now));
            reactor.delayBackground(delay, this::step);
        }
    }

    /**
     * Takes a completion.
     *
     * @param request The request.
     * @return The response.
     */
    private Promise<HttpResponse> complete(HttpRequest request) {
        String id = HeaderFields.find(request, HeaderFields.REQUEST_ID).orElse("unnamed");
        int priority =
                HeaderFields.find(request, HeaderFields.PRIORITY).map(Integer::parseInt).orElse(0);
        boolean chat = request.getPath().endsWith("/chat/completions");
        return request.loadBody()
                .then(
                        body -> {
                            byte[] bytes = body.getArray();
                            JsonNode root = Json.read(bytes);
                            cache.use(prefix(root));
                            int limit = root.path("max_tokens").asInt(0);
                            Generation generation = engine.submit(id, priority, limit);
                            CompletionForms form =
                                    new CompletionForms(
                                            chat,
                                            "cmpl-" + id,
                                            root.path("model").asText(),
                                            reactor.currentTimeMillis() / 1000);
                            forms.put(id, form);
                            if (faults.silent()) {
                                return new SettablePromise<>();
                            }
                            return root.path("stream").asBoolean(false)
                                    ? Promise.of(events(generation, form, 0))
                                    : whole(generation, form, bytes.length);
                        });
    }

    /**
     * Hashes the start of a prompt.
     *
     * @param root The request's body.
     * @return The hash.
     */
    private static long prefix(JsonNode root) {
        String prompt = root.path("messages").toString() + root.path("prompt");
        return RendezvousHash.hash(
                prompt.substring(0, Math.min(prompt.length(), PREFIX_CHARACTERS)));
    }

    /**
     * Reads after which event a caller wants to know more.
     *
     * @param request The request.
     * @return The event's number, 0 if none is named.
     */
    private static long after(HttpRequest request) {
        String after = request.getQueryParameter("after");
        return after == null ? 0 : Long.parseLong(after);
    }

    /**
     * Resumes or cancels a stream.
     *
     * @param request The request.
     * @param id The request's id.
     * @return The response.
     */
    private Promise<HttpResponse> stream(HttpRequest request, String id) {
        Optional<Generation> generation = engine.find(id);
        if (generation.isEmpty()) {
            return Promise.of(HttpResponse.notFound404().build());
        }
        if (request.getMethod().name().equals("DELETE")) {
            engine.cancel(generation.get(), reactor.currentTimeMillis());
            return Promise.of(HttpResponse.ok200().build());
        }
        int after =
                HeaderFields.find(request, HeaderFields.LAST_EVENT_ID)
                        .map(Integer::parseInt)
                        .orElse(-1);
        return Promise.of(events(generation.get(), forms.get(id), after + 1));
    }

    /**
     * Answers with the whole text.
     *
     * @param generation The request.
     * @param forms Writes the answer.
     * @param promptBytes The size of the prompt, in bytes.
     * @return The response.
     */
    private Promise<HttpResponse> whole(
            Generation generation, CompletionForms forms, int promptBytes) {
        if (generation.over()) {
            return Promise.of(
                    HttpResponse.ok200()
                            .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                            .withBody(forms.whole(generation, promptBytes))
                            .build());
        }
        return generation
                .awaitMore(generation.tokens().size(), reactor.currentTimeMillis())
                .then(() -> whole(generation, forms, promptBytes));
    }

    /**
     * Answers with events.
     *
     * @param generation The request.
     * @param forms Writes the events.
     * @param from The index of the first token.
     * @return The response.
     */
    private HttpResponse events(Generation generation, CompletionForms forms, int from) {
        EventSource source = new EventSource(generation, forms, from);
        ChannelSupplier<ByteBuf> body =
                ChannelSuppliers.ofAsyncSupplier(() -> source.next(this::shouldDrop, reactor));
        return HttpResponse.ok200()
                .withHeader(HttpHeaders.CONTENT_TYPE, "text/event-stream")
                .withBodyStream(body)
                .build();
    }

    /**
     * Decides whether to break a connection now.
     *
     * @param sent How many events it has carried.
     * @return {@code true} to break it.
     */
    private boolean shouldDrop(int sent) {
        boolean drop =
                faults.drops() > 0
                        && faults.dropAfterEvents() > 0
                        && sent >= faults.dropAfterEvents();
        if (drop) {
            faults = faults.dropped();
        }
        return drop;
    }

    /**
     * Runs a request to a plain service.
     *
     * @param request The request.
     * @return The response.
     */
    private Promise<HttpResponse> runService(HttpRequest request) {
        String id = HeaderFields.find(request, HeaderFields.REQUEST_ID).orElse("unnamed");
        String line = request.getMethod() + " " + request.getPathAndQuery();
        return request.loadBody()
                .then(
                        body -> {
                            serving++;
                            String text = line + " " + body.readRemaining() + " bytes";
                            int runs =
                                    1
                                            + Optional.ofNullable(serviceRuns.get(id))
                                                    .map(RunRecord::runs)
                                                    .orElse(0);
                            serviceRuns.put(
                                    id, new RunRecord(id, runs, 1, text, GenerationState.ENDED));
                            return Promises.delay(Duration.ofMillis(settings.serviceMillis()))
                                    .then(() -> serviceAnswer(text));
                        });
    }

    /**
     * Answers a request to a plain service.
     *
     * @param text The answer's text.
     * @return The response.
     */
    private Promise<HttpResponse> serviceAnswer(String text) {
        serving--;
        servedMillis += settings.serviceMillis();
        if (faults.silent()) {
            return new SettablePromise<>();
        }
        return Promise.of(json(new ServiceReply(settings.name(), text)));
    }

    /**
     * Takes an order.
     *
     * @param order The order.
     * @return The response.
     */
    private HttpResponse order(TargetOrder order) {
        if (settings.checksFences() && order.fence() < fence) {
            return HttpResponse.ofCode(409).build();
        }
        fence = Math.max(fence, order.fence());
        return HttpResponse.ok200().build();
    }

    /**
     * Answers with JSON.
     *
     * @param value The value.
     * @return The response.
     */
    private static HttpResponse json(Object value) {
        return HttpResponse.ok200()
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withBody(Json.write(value))
                .build();
    }
}
