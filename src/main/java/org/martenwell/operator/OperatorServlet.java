package org.martenwell.operator;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.json.Json;
import org.martenwell.observe.PrometheusText;
import org.martenwell.router.ConfigurationApplier;
import org.martenwell.router.ErrorBody;
import org.martenwell.settings.RouterSettings;

/**
 * Serves the operators' HTTP interface. Requests that change the router need the operators' token.
 */
public final class OperatorServlet implements AsyncServlet {

    /** The request header with the configuration version that a change is based on. */
    public static final String BASE_VERSION = "X-Base-Version";

    /** The response header with the version of the returned configuration. */
    public static final String VERSION = "X-Version";

    private static final String BEARER_PREFIX = "Bearer ";

    private final RouterControl router;

    private final ConfigurationApplier applier;

    private final RouterSettings settings;

    /**
     * Creates a servlet.
     *
     * @param router The router to inspect and drain.
     * @param applier Checks and stores configurations.
     * @param settings The settings, which hold the operators' token.
     */
    public OperatorServlet(
            RouterControl router, ConfigurationApplier applier, RouterSettings settings) {
        this.router = router;
        this.applier = applier;
        this.settings = settings;
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) {
        Promise<HttpResponse> response;
        try {
            response = route(request);
        } catch (MartenwellException refusal) {
            response = Promise.ofException(refusal);
        }
        return response.then(Promise::of, exception -> Promise.of(errorResponse(exception)));
    }

    private Promise<HttpResponse> route(HttpRequest request) {
        String route = request.getMethod() + " " + request.getPath();
        return switch (route) {
            case "GET /health" -> Promise.of(text(200, "up\n"));
            case "GET /ready" ->
                    Promise.of(router.ready() ? text(200, "ready\n") : text(503, "not ready\n"));
            case "GET /metrics" ->
                    Promise.of(text(200, PrometheusText.of(router.metrics().registry())));
            case "GET /status" -> Promise.of(json(router.status()));
            case "GET /configuration" -> Promise.of(configuration());
            case "PUT /configuration" -> apply(request);
            case "POST /drain" -> {
                requireToken(request);
                yield router.drain().map(OperatorServlet::json);
            }
            default ->
                    throw MartenwellException.of(
                            ErrorKind.UNKNOWN_PATH, "Unknown method or path: " + route + ".");
        };
    }

    private HttpResponse configuration() {
        return router.configuration()
                .map(
                        found ->
                                HttpResponse.ok200()
                                        .withHeader(
                                                HttpHeaders.of(VERSION),
                                                Long.toString(found.version()))
                                        .withPlainText(found.text())
                                        .build())
                .orElseThrow(
                        () ->
                                MartenwellException.of(
                                        ErrorKind.NOT_READY, "No configuration is active."));
    }

    /**
     * Applies the configuration in a request's body, if its base version is still current.
     *
     * @param request The request, with the token and the base version.
     * @return The response, after all routers have applied the configuration or the wait for them
     *     has timed out.
     */
    private Promise<HttpResponse> apply(HttpRequest request) {
        requireToken(request);
        String base = request.getHeader(HttpHeaders.of(BASE_VERSION));
        if (base == null || !base.matches("[0-9]{1,18}")) {
            throw MartenwellException.of(
                    ErrorKind.MALFORMED_REQUEST, BASE_VERSION + " must be a version number.");
        }
        return request.loadBody()
                .map(body -> body.getString(StandardCharsets.UTF_8))
                .then(body -> applier.apply(body, Long.parseLong(base)))
                .map(OperatorServlet::json);
    }

    /**
     * Throws an exception if a request doesn't carry the operators' token. The comparison takes
     * constant time, so that its duration reveals nothing about the token.
     *
     * @param request The request.
     */
    private void requireToken(HttpRequest request) {
        String header = request.getHeader(HttpHeaders.AUTHORIZATION);
        byte[] expected =
                (BEARER_PREFIX + settings.operatorToken()).getBytes(StandardCharsets.UTF_8);
        // The HTTP library reads a header as one character per byte.
        byte[] given = (header == null ? "" : header).getBytes(StandardCharsets.ISO_8859_1);
        if (!MessageDigest.isEqual(expected, given)) {
            throw MartenwellException.of(
                    ErrorKind.UNAUTHENTICATED, "The operators' token is missing or wrong.");
        }
    }

    private static HttpResponse json(Object value) {
        return HttpResponse.ok200().withJson(Json.print(value) + "\n").build();
    }

    private static HttpResponse text(int status, String body) {
        return HttpResponse.ofCode(status).withPlainText(body).build();
    }

    private static HttpResponse errorResponse(Exception exception) {
        MartenwellException failure =
                exception instanceof MartenwellException known
                        ? known
                        : MartenwellException.of(
                                ErrorKind.INTERNAL, String.valueOf(exception), exception);
        return HttpResponse.ofCode(failure.kind().status())
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withBody(ErrorBody.of(failure, ""))
                .build();
    }
}
