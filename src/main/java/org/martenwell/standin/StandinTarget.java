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
import org.martenwell.service.ManagedService;
import org.martenwell.service.ServerStarter;
import org.martenwell.target.LoadReport;
import org.martenwell.target.TargetOrder;

/**
 * A stand-in for a target, either a model engine or a plain service. It records the requests that
 * it ran, and faults can be injected.
 */
public final class StandinTarget implements AsyncServlet, ManagedService {

    /** The length of the prompt prefix that identifies a cache entry, in characters. */
    private static final int PREFIX_CHARACTERS = 512;

    private final NioReactor reactor;

    private final TargetSettings settings;

    private final HttpServer server;

    private final EngineCore engine;

    private final PrefixCache cache = new PrefixCache();

    /** The serializers of responses by request id, needed to resume streams. */
    private final Map<String, CompletionSerializer> serializers = new LinkedHashMap<>();

    /** The requests to a plain service, by request id. */
    private final Map<String, RunRecord> serviceRuns = new LinkedHashMap<>();

    /** The number of running requests to a plain service. */
    private int runningServiceRequests;

    /** The accumulated slot time of a plain service, in milliseconds. */
    private long servedMillis;

    private TargetFaults faults = TargetFaults.NONE;

    /** The highest fencing token of any order so far. */
    private long fence;

    /** The due time of the next engine step, in milliseconds. */
    private double nextStepAt;

    private boolean stopped;

    /**
     * Creates a target that is not started.
     *
     * @param reactor The event loop.
     * @param settings The settings of the target.
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
        return ServerStarter.start(server).whenResult(this::startSteps);
    }

    /** Starts the engine steps if the target serves models. */
    private void startSteps() {
        nextStepAt = reactor.currentTimeMillis();
        if (settings.kind() == PoolKind.MODEL) {
            runDueSteps();
        }
    }

    @Override
    public Promise<Void> stop() {
        stopped = true;
        return server.close().toVoid();
    }

    /** {@return the address that the server is bound to} */
    public InetSocketAddress address() {
        return server.getBoundAddresses().get(0);
    }

    /** {@return the settings of the target} */
    public TargetSettings settings() {
        return settings;
    }

    /**
     * Sets the faults to inject.
     *
     * @param changed The faults.
     */
    public void faults(TargetFaults changed) {
        faults = changed;
    }

    /** {@return a record for each request that was run} */
    public List<RunRecord> records() {
        return settings.kind() == PoolKind.MODEL
                ? engine.records()
                : List.copyOf(serviceRuns.values());
    }

    /** {@return the used capacity since the start} */
    public TargetUse use() {
        return new TargetUse(engine.produced(), engine.possible(), servedMillis);
    }

    /** {@return the current load, as reported to routers} */
    public LoadReport load() {
        boolean model = settings.kind() == PoolKind.MODEL;
        return new LoadReport(
                settings.slots(),
                model ? engine.running() : runningServiceRequests,
                model ? engine.waiting() : 0,
                faults.leaving(),
                settings.serves());
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) {
        String path = request.getPath();
        String route = request.getMethod() + " " + path;
        if (route.equals("GET /load")) {
            return Promise.of(jsonResponse(load()));
        }
        if (route.equals("GET /runs")) {
            return Promise.of(jsonResponse(records()));
        }
        if (route.equals("GET /cache-events")) {
            return Promise.of(jsonResponse(cache.events(lastKnownEvent(request))));
        }
        if (route.equals("POST /standin/faults")) {
            return request.loadBody()
                    .map(
                            body -> {
                                faults(Json.read(body.getArray(), TargetFaults.class));
                                return jsonResponse(faults);
                            });
        }
        if (route.equals("POST /orders")) {
            return request.loadBody()
                    .map(body -> handleOrder(Json.read(body.getArray(), TargetOrder.class)));
        }
        if (path.startsWith("/v1/streams/")) {
            return resumeOrCancel(request, path.substring("/v1/streams/".length()));
        }
        if (faults.refuse() || faults.leaving()) {
            return Promise.of(
                    HttpResponse.ofCode(503)
                            .withHeader(HttpHeaders.of(HeaderFields.NOT_STARTED), "true")
                            .build());
        }
        return settings.kind() == PoolKind.MODEL ? runCompletion(request) : runService(request);
    }

    /** Runs the engine steps that are due and schedules the next one. */
    private void runDueSteps() {
        long now = reactor.currentTimeMillis();
        double interval = 1000 / settings.tokensPerSecond();
        while (nextStepAt <= now) {
            engine.step(now);
            nextStepAt += interval;
        }
        if (!stopped) {
            long delay = (long) Math.max(1, Math.ceil(nextStepAt - now));
            reactor.delayBackground(delay, this::runDueSteps);
        }
    }

    /** Submits a completion request to the engine. */
    private Promise<HttpResponse> runCompletion(HttpRequest request) {
        String id = HeaderFields.find(request, HeaderFields.REQUEST_ID).orElse("unnamed");
        int priority =
                HeaderFields.find(request, HeaderFields.PRIORITY).map(Integer::parseInt).orElse(0);
        boolean chat = request.getPath().endsWith("/chat/completions");
        return request.loadBody()
                .then(
                        body -> {
                            byte[] bytes = body.getArray();
                            JsonNode root = Json.read(bytes);
                            cache.use(hashPrefix(root));
                            int limit = root.path("max_tokens").asInt(0);
                            Generation generation = engine.submit(id, priority, limit);
                            CompletionSerializer serializer =
                                    new CompletionSerializer(
                                            chat,
                                            "cmpl-" + id,
                                            root.path("model").asText(),
                                            reactor.currentTimeMillis() / 1000);
                            serializers.put(id, serializer);
                            if (faults.silent()) {
                                return new SettablePromise<>();
                            }
                            return root.path("stream").asBoolean(false)
                                    ? Promise.of(eventStream(generation, serializer, 0))
                                    : completeResponse(generation, serializer, bytes.length);
                        });
    }

    private static long hashPrefix(JsonNode root) {
        String prompt = root.path("messages").toString() + root.path("prompt");
        return RendezvousHash.hash(
                prompt.substring(0, Math.min(prompt.length(), PREFIX_CHARACTERS)));
    }

    /** Returns the number of the last event that the client knows, or 0. */
    private static long lastKnownEvent(HttpRequest request) {
        String after = request.getQueryParameter("after");
        return after == null ? 0 : Long.parseLong(after);
    }

    /** Resumes or, for a {@code DELETE} request, cancels a stream. */
    private Promise<HttpResponse> resumeOrCancel(HttpRequest request, String id) {
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
        return Promise.of(eventStream(generation.get(), serializers.get(id), after + 1));
    }

    /** Responds with the complete text once the generation is finished. */
    private Promise<HttpResponse> completeResponse(
            Generation generation, CompletionSerializer serializer, int promptBytes) {
        if (generation.isFinished()) {
            return Promise.of(
                    HttpResponse.ok200()
                            .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                            .withBody(serializer.response(generation, promptBytes))
                            .build());
        }
        return generation
                .awaitMore(generation.tokens().size(), reactor.currentTimeMillis())
                .then(() -> completeResponse(generation, serializer, promptBytes));
    }

    /** Responds with a stream of events from a given token on. */
    private HttpResponse eventStream(
            Generation generation, CompletionSerializer serializer, int from) {
        EventSource source = new EventSource(generation, serializer, from);
        ChannelSupplier<ByteBuf> body =
                ChannelSuppliers.ofAsyncSupplier(() -> source.next(this::shouldDrop, reactor));
        return HttpResponse.ok200()
                .withHeader(HttpHeaders.CONTENT_TYPE, "text/event-stream")
                .withBodyStream(body)
                .build();
    }

    /**
     * Returns {@code true} if an injected fault breaks the connection after this number of events.
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

    private Promise<HttpResponse> runService(HttpRequest request) {
        String id = HeaderFields.find(request, HeaderFields.REQUEST_ID).orElse("unnamed");
        String line = request.getMethod() + " " + request.getPathAndQuery();
        return request.loadBody()
                .then(
                        body -> {
                            runningServiceRequests++;
                            String text = line + " " + body.readRemaining() + " bytes";
                            int runs =
                                    1
                                            + Optional.ofNullable(serviceRuns.get(id))
                                                    .map(RunRecord::runs)
                                                    .orElse(0);
                            serviceRuns.put(
                                    id, new RunRecord(id, runs, 1, text, GenerationState.ENDED));
                            return Promises.delay(Duration.ofMillis(settings.serviceMillis()))
                                    .then(() -> serviceResponse(text));
                        });
    }

    private Promise<HttpResponse> serviceResponse(String text) {
        runningServiceRequests--;
        servedMillis += settings.serviceMillis();
        if (faults.silent()) {
            return new SettablePromise<>();
        }
        return Promise.of(jsonResponse(new ServiceReply(settings.name(), text)));
    }

    /** Accepts an order unless its fencing token is lower than an earlier one. */
    private HttpResponse handleOrder(TargetOrder order) {
        if (settings.checksFences() && order.fence() < fence) {
            return HttpResponse.ofCode(409).build();
        }
        fence = Math.max(fence, order.fence());
        return HttpResponse.ok200().build();
    }

    private static HttpResponse jsonResponse(Object value) {
        return HttpResponse.ok200()
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withBody(Json.write(value))
                .build();
    }
}
