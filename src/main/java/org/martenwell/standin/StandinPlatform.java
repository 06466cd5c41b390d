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
import org.martenwell.service.ManagedService;
import org.martenwell.service.ServerStarter;

/**
 * A stand-in for the platform: versioned objects with conditional updates and watches, and a box
 * list that shows changes late. Faults can be injected: outages, delays and lost responses.
 */
public final class StandinPlatform implements AsyncServlet, ManagedService {

    private final NioReactor reactor;

    private final HttpServer server;

    private final ObjectStore store = new ObjectStore();

    private final BoxList boxes;

    /** The pending long polls. */
    private final List<SettablePromise<Void>> watches = new ArrayList<>();

    private PlatformFaults faults = PlatformFaults.NONE;

    private CallCounts counts = CallCounts.NONE;

    /**
     * Creates a platform that is not started.
     *
     * @param reactor The event loop.
     * @param settings The listen address and the box list.
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
        return ServerStarter.start(server);
    }

    @Override
    public Promise<Void> stop() {
        wakeWatches();
        return server.close().toVoid();
    }

    /** {@return the address that the server is bound to} */
    public InetSocketAddress address() {
        return server.getBoundAddresses().get(0);
    }

    /**
     * Sets the faults to inject.
     *
     * @param changed The faults.
     */
    public void faults(PlatformFaults changed) {
        faults = changed;
    }

    /** {@return the numbers of calls received, without control requests} */
    public CallCounts counts() {
        return counts;
    }

    /**
     * Changes the state of a box after the delay of the box list.
     *
     * @param name The name of the box.
     * @param state The new state.
     */
    public void box(String name, BoxState state) {
        boxes.change(name, state, reactor.currentTimeMillis());
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) {
        if (request.getPath().startsWith("/standin/")) {
            return request.loadBody().map(body -> handleControl(request, body.getArray()));
        }
        count(request);
        if (faults.down()) {
            return Promise.ofException(new IOException("Platform outage by fault injection."));
        }
        return request.loadBody()
                .map(body -> body.getArray())
                .then(body -> respondAfterDelay(request, body))
                .then(Promise::of, exception -> Promise.of(errorResponse(exception)));
    }

    /** Responds to a call after the injected delay. */
    private Promise<HttpResponse> respondAfterDelay(HttpRequest request, byte[] body) {
        return faults.slowMillis() == 0
                ? respond(request, body)
                : Promises.delay(Duration.ofMillis(faults.slowMillis()))
                        .then(() -> respond(request, body));
    }

    /** Routes a call by its path. */
    private Promise<HttpResponse> respond(HttpRequest request, byte[] body) {
        String[] parts = request.getPath().split("/", -1);
        if (request.getPath().equals("/boxes")) {
            return Promise.of(jsonResponse(boxes.boxes(reactor.currentTimeMillis())));
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

    private HttpResponse read(String kind, String name) {
        return store.read(kind, name)
                .map(object -> versionedResponse(object, object.value()))
                .orElseGet(() -> HttpResponse.notFound404().build());
    }

    /** Writes an object; a response to be lost never completes. */
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
        return Promise.of(versionedResponse(object, new byte[0]));
    }

    /**
     * Responds with the objects changed after a version, or waits for a change until the deadline.
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
            return Promise.of(jsonResponse(items));
        }
        SettablePromise<Void> woken = new SettablePromise<>();
        watches.add(woken);
        reactor.delayBackground(left, () -> woken.trySet(null));
        return woken.then(() -> watch(kind, after, until));
    }

    private void wakeWatches() {
        List<SettablePromise<Void>> woken = List.copyOf(watches);
        watches.clear();
        woken.forEach(each -> each.trySet(null));
    }

    /** Handles a request that controls the stand-in itself. */
    private HttpResponse handleControl(HttpRequest request, byte[] body) {
        if (request.getPath().equals("/standin/faults")) {
            faults(Json.read(body, PlatformFaults.class));
        } else if (request.getPath().equals("/standin/box")) {
            box(request.getQueryParameter("name"), Json.read(body, BoxState.class));
        }
        return jsonResponse(counts);
    }

    private void count(HttpRequest request) {
        boolean write = request.getMethod() == HttpMethod.PUT;
        boolean watch = request.getQueryParameter("after") != null;
        counts =
                new CallCounts(
                        counts.reads() + (write || watch ? 0 : 1),
                        counts.writes() + (write ? 1 : 0),
                        counts.watches() + (watch ? 1 : 0));
    }

    private static HttpResponse errorResponse(Exception exception) {
        if (exception instanceof MartenwellException known) {
            boolean conflict = known.kind() == ErrorKind.VERSION_CONFLICT;
            return HttpResponse.ofCode(conflict ? 412 : known.kind().status()).build();
        }
        return HttpResponse.ofCode(500).build();
    }

    /** Responds with a value and its version as the entity tag. */
    private static HttpResponse versionedResponse(StoredObject object, byte[] value) {
        return HttpResponse.ok200()
                .withHeader(HttpHeaders.ETAG, "\"" + object.version() + "\"")
                .withBody(value)
                .build();
    }

    private static HttpResponse jsonResponse(Object value) {
        return HttpResponse.ok200().withBody(Json.write(value)).build();
    }
}
