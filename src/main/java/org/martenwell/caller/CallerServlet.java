package org.martenwell.caller;

import com.fasterxml.uuid.Generators;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.router.RoutedResponse;
import org.martenwell.router.RouterMetrics;
import org.martenwell.router.SentRequests;

/**
 * Serves callers' requests: checks their form, routes them by path and turns failures into error
 * responses.
 */
public final class CallerServlet implements AsyncServlet {

    /** The path prefix of plain services. */
    private static final String SERVICES_PREFIX = "/services/";

    private final RequestChecker checker;

    private final ModelEndpoint models;

    private final ServiceEndpoint services;

    private final RouterMetrics metrics;

    private final SentRequests sent;

    private final UnansweredRequests unanswered = new UnansweredRequests();

    /**
     * Creates a servlet.
     *
     * @param checker Checks the form of requests.
     * @param models Handles requests to models.
     * @param services Handles requests to plain services.
     * @param metrics Counts responses and failures.
     * @param sent The requests that were sent to targets.
     */
    public CallerServlet(
            RequestChecker checker,
            ModelEndpoint models,
            ServiceEndpoint services,
            RouterMetrics metrics,
            SentRequests sent) {
        this.checker = checker;
        this.models = models;
        this.services = services;
        this.metrics = metrics;
        this.sent = sent;
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) {
        String id = Generators.timeBasedEpochGenerator().generate().toString();
        Promise<HttpResponse> response;
        try {
            checker.check(request);
            response = route(request, id);
        } catch (MartenwellException refusal) {
            response = Promise.ofException(refusal);
        }
        return unanswered
                .add(id, response)
                .then(Promise::of, exception -> Promise.of(errorResponse(exception, id)))
                .whenComplete(() -> sent.remove(id));
    }

    /**
     * Returns the requests whose responses have not begun: those that arrive, wait or run.
     *
     * @return The number.
     */
    public int unanswered() {
        return unanswered.count();
    }

    /** Fails all requests whose responses have not begun, as the router stops. */
    public void failUnanswered() {
        sent.close();
        unanswered.respondAll(id -> errorResponse(sent.failureAtStop(id), id));
    }

    private Promise<HttpResponse> route(HttpRequest request, String id) {
        String path = request.getPath();
        if (path.startsWith(SERVICES_PREFIX)) {
            return services.serve(request, id).map(routed -> targetResponse(routed, id));
        }
        return switch (path) {
            case "/v1/chat/completions", "/v1/completions" -> {
                requireMethod(request, HttpMethod.POST);
                yield models.serve(request, id).map(routed -> targetResponse(routed, id));
            }
            case "/v1/models" -> {
                requireMethod(request, HttpMethod.GET);
                yield models.list(request, id);
            }
            default ->
                    throw MartenwellException.of(
                            ErrorKind.UNKNOWN_PATH, "Unknown path: " + path + ".");
        };
    }

    private static void requireMethod(HttpRequest request, HttpMethod method) {
        if (request.getMethod() != method) {
            throw MartenwellException.of(
                    ErrorKind.METHOD_NOT_ALLOWED, "This path only accepts " + method + ".");
        }
    }

    private HttpResponse targetResponse(RoutedResponse response, String id) {
        metrics.responded();
        return CallerResponses.of(response, id);
    }

    private HttpResponse errorResponse(Exception exception, String id) {
        MartenwellException failure = CallerResponses.withKind(exception);
        metrics.failed(failure.kind());
        return CallerResponses.of(failure, id);
    }
}
