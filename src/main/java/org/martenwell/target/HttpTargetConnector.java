package org.martenwell.target;

import io.activej.async.exception.AsyncTimeoutException;
import io.activej.promise.Promise;
import io.netty.handler.codec.http.HttpMethod;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.List;
import org.martenwell.configuration.Target;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.error.Outcome;
import org.martenwell.http.AsyncHttpClient;
import org.martenwell.http.BufferedHttpResponse;
import org.martenwell.http.HeaderField;
import org.martenwell.http.HeaderFields;
import org.martenwell.http.StreamedHttpResponse;
import org.martenwell.json.Json;

/**
 * Connects to targets over HTTP. Models use the OpenAI API with server-sent events; the ids of the
 * events allow an interrupted stream to be resumed with {@code Last-Event-ID}, as the HTML standard
 * defines it.
 */
public final class HttpTargetConnector implements TargetConnector {

    /** The timeout of calls other than {@link #start}, in milliseconds. */
    private static final long CALL_TIMEOUT_MILLIS = 2_000;

    private static final byte[] NO_BODY = {};

    private final AsyncHttpClient client;

    /**
     * Creates a connector.
     *
     * @param client Sends each request over a new connection. Responses don't name their request,
     *     so that on a kept connection an extra response would become that to the next request.
     */
    public HttpTargetConnector(AsyncHttpClient client) {
        this.client = client;
    }

    @Override
    public Promise<TargetResponse> start(Target target, TargetRequest request) {
        List<HeaderField> headers = new ArrayList<>(request.headers());
        headers.add(new HeaderField(HeaderFields.REQUEST_ID, request.id()));
        headers.add(new HeaderField(HeaderFields.PRIORITY, Integer.toString(request.priority())));
        HttpMethod method = HttpMethod.valueOf(request.method());
        String url = url(target, request.pathAndQuery());
        return send(method, url, headers, request.body(), request.timeoutMillis());
    }

    @Override
    public Promise<TargetResponse> resume(Target target, String requestId, String lastEvent) {
        return send(
                HttpMethod.GET,
                url(target, "/v1/streams/" + requestId),
                List.of(new HeaderField(HeaderFields.LAST_EVENT_ID, lastEvent)),
                NO_BODY,
                CALL_TIMEOUT_MILLIS);
    }

    @Override
    public Promise<Void> cancel(Target target, String requestId) {
        return call(HttpMethod.DELETE, target, "/v1/streams/" + requestId, NO_BODY).toVoid();
    }

    @Override
    public Promise<LoadReport> load(Target target) {
        return call(HttpMethod.GET, target, "/load", NO_BODY)
                .map(response -> Json.read(response.body(), LoadReport.class));
    }

    @Override
    public Promise<List<CacheEvent>> cacheEvents(Target target, long after) {
        return call(HttpMethod.GET, target, "/cache-events?after=" + after, NO_BODY)
                .map(response -> List.of(Json.read(response.body(), CacheEvent[].class)));
    }

    @Override
    public Promise<Void> order(Target target, TargetOrder order) {
        return call(HttpMethod.POST, target, "/orders", Json.write(order)).toVoid();
    }

    /**
     * Sends a request and awaits the head of its response.
     *
     * @param method The method.
     * @param url The URL.
     * @param headers The header fields.
     * @param body The request body.
     * @param timeoutMillis The time until the response head must arrive, in milliseconds.
     * @return The response with its unread body.
     */
    private Promise<TargetResponse> send(
            HttpMethod method,
            String url,
            List<HeaderField> headers,
            byte[] body,
            long timeoutMillis) {
        return client.send(method, url, headers, body, timeoutMillis)
                .mapException(HttpTargetConnector::toException)
                .map(HttpTargetConnector::toTargetResponse);
    }

    /**
     * Maps a transport failure to an exception with the outcome of the request.
     *
     * @param exception The failure.
     * @return The exception; its outcome is {@link Outcome#NOT_RUN} if no connection was
     *     established.
     */
    private static MartenwellException toException(Exception exception) {
        if (exception instanceof ConnectException) {
            return MartenwellException.of(
                            ErrorKind.TARGET_FAILED, "Connecting to the target failed.", exception)
                    .withOutcome(Outcome.NOT_RUN);
        }
        if (exception instanceof AsyncTimeoutException) {
            return MartenwellException.of(
                    ErrorKind.TARGET_TIMEOUT,
                    "The target did not respond within the timeout.",
                    exception);
        }
        return MartenwellException.of(
                ErrorKind.TARGET_FAILED,
                "The connection to the target failed before a response began.",
                exception);
    }

    /**
     * Checks the head of a response for a refusal before processing.
     *
     * @param response The response.
     * @return The response with its unread body.
     */
    private static TargetResponse toTargetResponse(StreamedHttpResponse response) {
        if (HeaderFields.find(response.headers(), HeaderFields.NOT_STARTED).isPresent()) {
            response.body().close();
            throw MartenwellException.of(
                    ErrorKind.TARGET_REFUSED,
                    "The target refused the request before processing it.");
        }
        return new TargetResponse(
                response.status(), response.headers(), response.body(), response.framed());
    }

    /**
     * Makes a short call and requires a status below 300.
     *
     * @param method The method.
     * @param target The target.
     * @param path The path and query.
     * @param body The request body.
     * @return The complete response.
     */
    private Promise<BufferedHttpResponse> call(
            HttpMethod method, Target target, String path, byte[] body) {
        return client.exchange(method, url(target, path), List.of(), body, CALL_TIMEOUT_MILLIS)
                .mapException(
                        exception ->
                                MartenwellException.of(
                                        ErrorKind.TARGET_FAILED,
                                        "The call to the target failed.",
                                        exception))
                .map(
                        response -> {
                            if (response.status() >= 300) {
                                throw MartenwellException.of(
                                        ErrorKind.TARGET_REFUSED,
                                        "The target responded with status "
                                                + response.status()
                                                + ".");
                            }
                            return response;
                        });
    }

    private static String url(Target target, String pathAndQuery) {
        return "http://" + target.address() + pathAndQuery;
    }
}
