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

/** Answers operators' requests. What changes anything needs the operators' token. */
public final class OperatorServlet implements AsyncServlet {

    /** Names the version that a change is based on. */
    public static final String BASE_VERSION = "X-Base-Version";

    /** Names the version of an answer. */
    public static final String VERSION = "X-Version";

    /** Starts the header that carries the token. */
    private static final String BEARER = "Bearer ";

    /** The router. */
    private final OperatedRouter router;

    /** Changes the configuration. */
    private final ConfigurationApplier applier;

    /** The settings. */
    private final RouterSettings settings;

    /**
     * Creates a servlet.
     *
     * @param router The router.
     * @param applier Changes the configuration.
     * @param settings The settings.
     */
    public OperatorServlet(
            OperatedRouter router, ConfigurationApplier applier, RouterSettings settings) {
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
        return response.then(Promise::of, exception -> Promise.of(failed(exception)));
    }

    /**
     * Answers a request by its path and method.
     *
     * @param request The request.
     * @return The response.
     */
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
                            ErrorKind.UNKNOWN_PATH, "Nothing is at " + route + ".");
        };
    }

    /**
     * Answers with the configuration as it is stored.
     *
     * @return The response.
     */
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
                                        ErrorKind.NOT_READY, "No configuration is in force."));
    }

    /**
     * Applies a configuration.
     *
     * @param request The request.
     * @return The response.
     */
    private Promise<HttpResponse> apply(HttpRequest request) {
        requireToken(request);
        String base = request.getHeader(HttpHeaders.of(BASE_VERSION));
        if (base == null || !base.matches("[0-9]{1,18}")) {
            throw MartenwellException.of(
                    ErrorKind.MALFORMED_REQUEST, BASE_VERSION + " must name a version.");
        }
        return request.loadBody()
                .map(body -> body.getString(StandardCharsets.UTF_8))
                .then(body -> applier.apply(body, Long.parseLong(base)))
                .map(OperatorServlet::json);
    }

    /**
     * Throws an exception if a request does not carry the operators' token.
     *
     * @param request The request.
     */
    private void requireToken(HttpRequest request) {
        String header = request.getHeader(HttpHeaders.AUTHORIZATION);
        byte[] expected = (BEARER + settings.operatorToken()).getBytes(StandardCharsets.UTF_8);
        byte[] given = (header == null ? "" : header).getBytes(StandardCharsets.UTF_8);
        if (!MessageDigest.isEqual(expected, given)) {
            throw MartenwellException.of(
                    ErrorKind.UNAUTHENTICATED, "The operators' token is missing or wrong.");
        }
    }

    /**
     * Builds a response in JSON.
     *
     * @param value The value.
     * @return The response.
     */
    private static HttpResponse json(Object value) {
        return HttpResponse.ok200().withJson(Json.print(value) + "\n").build();
    }

    /**
     * Builds a response in plain text.
     *
     * @param status The status.
     * @param body The text.
     * @return The response.
     */
    private static HttpResponse text(int status, String body) {
        return HttpResponse.ofCode(status).withPlainText(body).build();
    }

    /**
     * Builds the response of a request that failed.
     *
     * @param exception Why.
     * @return The response.
     */
    private static HttpResponse failed(Exception exception) {
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
