package org.martenwell.target;

import io.activej.async.exception.AsyncTimeoutException;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.martenwell.configuration.Target;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.error.Outcome;
import org.martenwell.http.ConnectFailures;
import org.martenwell.http.HeaderField;
import org.martenwell.http.HeaderFields;
import org.martenwell.http.HttpAnswer;
import org.martenwell.http.HttpCalls;
import org.martenwell.json.Json;

/**
 * Targets over HTTP. Models are asked in the OpenAI form with server-sent events whose ids number
 * the pieces; a broken stream goes on with {@code Last-Event-ID}, as the HTML standard defines it.
 */
public final class HttpTargetConnector implements TargetConnector {

    /** How long a call other than a request may take, in milliseconds. */
    private static final long TIMEOUT_MILLIS = 2_000;

    /** The body of a request without one. */
    private static final byte[] NO_BODY = {};

    /** Sends requests that may be sent again. */
    private final HttpCalls pooled;

    /** Sends requests that may not be sent again, each over a connection of its own. */
    private final HttpCalls single;

    /**
     * Creates a connector.
     *
     * @param pooled Sends requests that may be sent again.
     * @param single Sends requests that may not be sent again, each over a connection of its own.
     */
    public HttpTargetConnector(HttpCalls pooled, HttpCalls single) {
        this.pooled = pooled;
        this.single = single;
    }

    @Override
    public Promise<TargetAnswer> start(Target target, TargetRequest request) {
        List<HeaderField> headers = new ArrayList<>(request.headers());
        headers.add(new HeaderField(HeaderFields.REQUEST_ID, request.id()));
        headers.add(new HeaderField(HeaderFields.PRIORITY, Integer.toString(request.priority())));
        HttpRequest message =
                HttpCalls.request(
                        HttpMethod.valueOf(request.method()),
                        url(target, request.pathAndQuery()),
                        headers,
                        request.body());
        HttpCalls calls = request.repeatable() ? pooled : single;
        return send(calls, message, request.timeoutMillis());
    }

    @Override
    public Promise<TargetAnswer> resume(Target target, String requestId, String lastEvent) {
        HttpRequest message =
                HttpCalls.request(
                        HttpMethod.GET,
                        url(target, "/v1/streams/" + requestId),
                        List.of(new HeaderField(HeaderFields.LAST_EVENT_ID, lastEvent)),
                        NO_BODY);
        return send(pooled, message, TIMEOUT_MILLIS);
    }

    @Override
    public Promise<Void> cancel(Target target, String requestId) {
        return exchange(HttpMethod.DELETE, target, "/v1/streams/" + requestId, NO_BODY).toVoid();
    }

    @Override
    public Promise<LoadReport> load(Target target) {
        return exchange(HttpMethod.GET, target, "/load", NO_BODY)
                .map(answer -> Json.read(answer.body(), LoadReport.class));
    }

    @Override
    public Promise<List<CacheEvent>> cacheEvents(Target target, long after) {
        return exchange(HttpMethod.GET, target, "/cache-events?after=" + after, NO_BODY)
                .map(answer -> List.of(Json.read(answer.body(), CacheEvent[].class)));
    }

    @Override
    public Promise<Void> order(Target target, TargetOrder order) {
        return exchange(HttpMethod.POST, target, "/orders", Json.write(order)).toVoid();
    }

    /**
     * Sends a request and waits for the answer to begin.
     *
     * @param calls Sends the request.
     * @param message The request.
     * @param timeoutMillis How long until the answer must begin, in milliseconds.
     * @return The beginning of the answer.
     */
    private static Promise<TargetAnswer> send(
            HttpCalls calls, HttpRequest message, long timeoutMillis) {
        Promise<HttpResponse> response = calls.send(message);
        Promise<HttpResponse> timely = Promises.timeout(Duration.ofMillis(timeoutMillis), response);
        response.whenResult(late -> closeIfLate(late, timely));
        return timely.mapException(exception -> failure(message, exception))
                .map(HttpTargetConnector::answer);
    }

    /**
     * Closes a response that came after its time-out, so that nobody else ever gets it.
     *
     * @param response The response.
     * @param timely The promise that timed out or not.
     */
    private static void closeIfLate(HttpResponse response, Promise<HttpResponse> timely) {
        if (timely.isException() && !response.isRecycled()) {
            response.takeBodyStream().close();
        }
    }

    /**
     * States the outcome of a request that got no answer.
     *
     * @param message The request.
     * @param exception The failure.
     * @return The exception that states the outcome.
     */
    private static MartenwellException failure(HttpRequest message, Exception exception) {
        if (ConnectFailures.marked(message)) {
            return MartenwellException.of(
                            ErrorKind.TARGET_FAILED, "The target took no connection.", exception)
                    .withOutcome(Outcome.NOT_RUN);
        }
        if (exception instanceof AsyncTimeoutException) {
            return MartenwellException.of(
                    ErrorKind.TARGET_TIMEOUT, "The target did not answer in time.", exception);
        }
        return MartenwellException.of(ErrorKind.TARGET_FAILED, "The target broke off.", exception);
    }

    /**
     * Reads the beginning of an answer.
     *
     * @param response The response.
     * @return The beginning of the answer.
     */
    private static TargetAnswer answer(HttpResponse response) {
        List<HeaderField> headers = HeaderFields.read(response);
        if (HeaderFields.find(headers, HeaderFields.NOT_STARTED).isPresent()) {
            response.takeBodyStream().close();
            throw MartenwellException.of(
                    ErrorKind.TARGET_REFUSED, "The target refused before it started.");
        }
        return new TargetAnswer(response.getCode(), headers, response.takeBodyStream());
    }

    /**
     * Makes a short call.
     *
     * @param method The method.
     * @param target The target.
     * @param path The path and query.
     * @param body The body.
     * @return The answer, which is a success.
     */
    private Promise<HttpAnswer> exchange(
            HttpMethod method, Target target, String path, byte[] body) {
        return pooled.exchange(method, url(target, path), List.of(), body, TIMEOUT_MILLIS)
                .mapException(
                        exception ->
                                MartenwellException.of(
                                        ErrorKind.TARGET_FAILED,
                                        "The target did not answer.",
                                        exception))
                .map(
                        answer -> {
                            if (answer.status() >= 300) {
                                throw MartenwellException.of(
                                        ErrorKind.TARGET_REFUSED,
                                        "The target answered " + answer.status() + ".");
                            }
                            return answer;
                        });
    }

    /**
     * Builds a URL at a target.
     *
     * @param target The target.
     * @param pathAndQuery The path and query.
     * @return The URL.
     */
    private static String url(Target target, String pathAndQuery) {
        return "http://" + target.address() + pathAndQuery;
    }
}
