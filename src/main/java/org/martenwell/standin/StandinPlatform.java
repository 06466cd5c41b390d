package org.martenwell.standin;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.json.Json;
import org.martenwell.objects.BoxState;
import org.martenwell.objects.ObjectItem;
import org.martenwell.objects.StoredObject;
import org.martenwell.service.IpAddress;
import org.martenwell.service.Listening;
import org.martenwell.service.ManagedService;

/**
 * A stand-in platform: objects with versions, conditional updates and watches, and a box list that
 * lags. It can be told to be down, to be slow and to lose replies.
 */
public final class StandinPlatform implements AsyncServlet, ManagedService {

    /** The loop. */
    private final NioReactor reactor;

    /** Takes calls. */
    private final HttpServer server;

    /** The objects. */
    private final ObjectStore store = new ObjectStore();

    /** The boxes. */
    private final BoxList boxes;

    /** The watches that wait. */
    private final List<SettablePromise<Void>> watches = new ArrayList<>();

    /** How it misbehaves. */
    private PlatformFaults faults = PlatformFaults.NONE;

    /** The calls taken. */
    private CallCounts counts = CallCounts.NONE;

    /**
     * Creates a platform that does not run yet.
     *
     * @param reactor The loop.
     * @param settings The settings.
     */
    public StandinPlatform(NioReactor reactor, PlatformSettings settings) {
        this.reactor = reactor;
        this.boxes = new BoxList(settings.boxes(), settings.boxLagMillis());
        this.server =
                HttpServer.builder(reactor, this)
                        .withListenAddress(IpAddress.of(settings.address()))
                        .build();
    }

    @Override
    public Promise<Void> start() {
        return Listening.start(server);
    }

    @Override
    public Promise<Void> stop() {
        wakeWatches();
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
     * Changes how it misbehaves.
     *
     * @param changed The faults.
     */
    public void faults(PlatformFaults changed) {
        faults = changed;
    }

    /**
     * Returns the calls taken.
     *
     * @return The counts.
     */
    public CallCounts counts() {
        return counts;
    }

    /**
     * Changes the state of a box.
     *
     * @param name The box's name.
     * @param state The state, shown after the lag.
     */
    public void box(String name, BoxState state) {
        boxes.change(name, state, reactor.currentTimeMillis());
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) {
        if (request.getPath().startsWith("/standin/")) {
            return request.loadBody().map(body -> control(request, body.getArray()));
        }
        count(request);
        if (faults.down()) {
            return Promise.ofException(new IOException("down"));
        }
        return request.loadBody()
                .map(body -> body.getArray())
                .then(body -> delayed(request, body))
                .then(Promise::of, exception -> Promise.of(failed(exception)));
    }

    /**
     * Answers a call after the present delay.
     *
     * @param request The call.
     * @param body Its body.
     * @return The answer.
     */
    private Promise<HttpResponse> delayed(HttpRequest request, byte[] body) {
        return faults.slowMillis() == 0
                ? answer(request, body)
                : Promises.delay(Duration.ofMillis(faults.slowMillis()))
                        .then(() -> answer(request, body));
    }

    /**
     * Answers a call.
     *
     * @param request The call.
     * @param body Its body.
     * @return The answer.
     */
    private Promise<HttpResponse> answer(HttpRequest request, byte[] body) {
        String[] parts = request.getPath().split("/", -1);
        if (request.getPath().equals("/boxes")) {
            return Promise.of(json(boxes.boxes(reactor.currentTimeMillis())));
        }
        if (parts.length == 3 && parts[1].equals("objects")) {
            long after = Long.parseLong(request.getQueryParameter("after"));
            long until =
                    reactor.currentTimeMillis()
                            + Long.parseLong(request.getQueryParameter("waitMillis"));
            return watch(parts[2], after, until);
        }
        if (parts.length == 4 && parts[1].equals("objects")) {
            return request.getMethod() == HttpMethod.PUT
                    ? write(parts[2], parts[3], body, request)
                    : Promise.of(read(parts[2], parts[3]));
        }
        return Promise.of(HttpResponse.notFound404().build());
    }

    /**
     * Reads an object.
     *
     * @param kind The kind.
     * @param name The name.
     * @return The answer.
     */
    private HttpResponse read(String kind, String name) {
        return store.read(kind, name)
                .map(object -> tagged(object, object.value()))
                .orElseGet(() -> HttpResponse.notFound404().build());
    }

    /**
     * Writes an object and perhaps loses the reply.
     *
     * @param kind The kind.
     * @param name The name.
     * @param value The value.
     * @param request The call with its condition.
     * @return The answer.
     */
    private Promise<HttpResponse> write(
            String kind, String name, byte[] value, HttpRequest request) {
        String match = request.getHeader(HttpHeaders.IF_MATCH);
        long expected = match == null ? 0 : Long.parseLong(match.replace("\"", ""));
        StoredObject object = store.write(kind, name, value, expected);
        wakeWatches();
        if (faults.lostReplies() > 0) {
            faults =
                    new PlatformFaults(
                            faults.down(), faults.slowMillis(), faults.lostReplies() - 1);
            return new SettablePromise<>();
        }
        return Promise.of(tagged(object, new byte[0]));
    }

    /**
     * Waits for changes.
     *
     * @param kind The kind.
     * @param after The version after which changes are wanted.
     * @param until Until when to wait.
     * @return The answer.
     */
    private Promise<HttpResponse> watch(String kind, long after, long until) {
        List<StoredObject> changed = store.changed(kind, after);
        long left = until - reactor.currentTimeMillis();
        if (!changed.isEmpty() || left <= 0) {
            List<ObjectItem> items = new ArrayList<>();
            for (StoredObject object : changed) {
                String value = Base64.getEncoder().encodeToString(object.value());
                items.add(new ObjectItem(object.name(), object.version(), value));
            }
            return Promise.of(json(items));
        }
        SettablePromise<Void> woken = new SettablePromise<>();
        watches.add(woken);
        reactor.delayBackground(left, () -> woken.trySet(null));
        return woken.then(() -> watch(kind, after, until));
    }

    /** Wakes all watches. */
    private void wakeWatches() {
        List<SettablePromise<Void>> woken = List.copyOf(watches);
        watches.clear();
        woken.forEach(each -> each.trySet(null));
    }

    /**
     * Takes an order to the stand-in itself.
     *
     * @param request The order.
     * @param body Its body.
     * @return The answer.
     */
    private HttpResponse control(HttpRequest request, byte[] body) {
        if (request.getPath().equals("/standin/faults")) {
            faults(Json.read(body, PlatformFaults.class));
        } else if (request.getPath().equals("/standin/box")) {
            box(request.getQueryParameter("name"), Json.read(body, BoxState.class));
        }
        return json(counts);
    }

    /**
     * Counts a call.
     *
     * @param request The call.
     */
    private void count(HttpRequest request) {
        boolean write = request.getMethod() == HttpMethod.PUT;
        boolean watch = request.getQueryParameter("after") != null;
        counts =
                new CallCounts(
                        counts.reads() + (write || watch ? 0 : 1),
                        counts.writes() + (write ? 1 : 0),
                        counts.watches() + (watch ? 1 : 0));
    }

    /**
     * Answers a call that failed.
     *
     * @param exception Why.
     * @return The answer.
     */
    private static HttpResponse failed(Exception exception) {
        if (exception instanceof MartenwellException known) {
            boolean conflict = known.kind() == ErrorKind.VERSION_CONFLICT;
            return HttpResponse.ofCode(conflict ? 412 : known.kind().status()).build();
        }
        return HttpResponse.ofCode(500).build();
    }

    /**
     * Answers with a value and its version.
     *
     * @param object The object.
     * @param value The value.
     * @return The answer.
     */
    private static HttpResponse tagged(StoredObject object, byte[] value) {
        return HttpResponse.ok200()
                .withHeader(HttpHeaders.ETAG, "\"" + object.version() + "\"")
                .withBody(value)
                .build();
    }

    /**
     * Answers with JSON.
     *
     * @param value The value.
     * @return The answer.
     */
    private static HttpResponse json(Object value) {
        return HttpResponse.ok200().withBody(Json.write(value)).build();
    }
}
