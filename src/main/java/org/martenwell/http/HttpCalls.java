package org.martenwell.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.nio.NioReactor;
import java.time.Duration;
import java.util.List;
import org.martenwell.service.ManagedService;

/**
 * Sends HTTP requests and reads whole answers. No request is ever sent again by itself, and
 * addresses are IP numbers, so no name service is asked.
 */
public final class HttpCalls implements ManagedService {

    /** How long a connection may take to open. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    /** How long an unused connection stays open. */
    private static final Duration KEEP_ALIVE = Duration.ofSeconds(10);

    /** The client. */
    private final HttpClient client;

    /**
     * Creates calls in a loop.
     *
     * @param client The client.
     */
    private HttpCalls(HttpClient client) {
        this.client = client;
    }

    /**
     * Creates calls in a loop, over connections that are used again.
     *
     * @param reactor The loop.
     * @param maxBodyBytes The largest answer that is read whole, in bytes.
     * @return The calls.
     */
    public static HttpCalls pooled(NioReactor reactor, int maxBodyBytes) {
        return new HttpCalls(
                builder(reactor, maxBodyBytes).withKeepAliveTimeout(KEEP_ALIVE).build());
    }

    /**
     * Creates calls in a loop, each over a connection of its own, so that none meets a connection
     * that the other side closed while it was idle.
     *
     * @param reactor The loop.
     * @param maxBodyBytes The largest answer that is read whole, in bytes.
     * @return The calls.
     */
    public static HttpCalls single(NioReactor reactor, int maxBodyBytes) {
        return new HttpCalls(builder(reactor, maxBodyBytes).withNoKeepAlive().build());
    }

    /**
     * Creates a builder with the settings that both kinds share.
     *
     * @param reactor The loop.
     * @param maxBodyBytes The largest answer that is read whole, in bytes.
     * @return The builder.
     */
    private static HttpClient.Builder builder(NioReactor reactor, int maxBodyBytes) {
        return HttpClient.builder(reactor)
                .withConnectTimeout(CONNECT_TIMEOUT)
                .withInspector(new ConnectFailures())
                .withMaxBodySize(maxBodyBytes);
    }

    /**
     * Sends a request and reads the answer whole.
     *
     * @param method The method.
     * @param url The URL; its host is an IP number.
     * @param headers The header fields.
     * @param body The body, empty for none.
     * @param timeoutMillis How long the whole exchange may take, in milliseconds.
     * @return The answer.
     */
    public Promise<HttpAnswer> exchange(
            HttpMethod method,
            String url,
            List<HeaderField> headers,
            byte[] body,
            long timeoutMillis) {
        Promise<HttpAnswer> answer =
                send(request(method, url, headers, body)).then(HttpCalls::readWhole);
        return Promises.timeout(Duration.ofMillis(timeoutMillis), answer);
    }

    /**
     * Builds a request.
     *
     * @param method The method.
     * @param url The URL; its host is an IP number.
     * @param headers The header fields.
     * @param body The body, empty for none.
     * @return The request.
     */
    public static HttpRequest request(
            HttpMethod method, String url, List<HeaderField> headers, byte[] body) {
        HttpRequest.Builder builder = HttpRequest.builder(method, url);
        for (HeaderField field : headers) {
            builder.withHeader(HttpHeaders.of(field.name()), field.value());
        }
        if (body.length > 0) {
            builder.withBody(ByteBuf.wrapForReading(body));
        }
        return builder.build();
    }

    /**
     * Sends a request.
     *
     * @param request The request.
     * @return The response, whose body is still to be read.
     */
    public Promise<HttpResponse> send(HttpRequest request) {
        return client.request(request);
    }

    /**
     * Reads a response whole.
     *
     * @param response The response.
     * @return The answer.
     */
    public static Promise<HttpAnswer> readWhole(HttpResponse response) {
        int status = response.getCode();
        List<HeaderField> headers = HeaderFields.read(response);
        return response.loadBody().map(body -> new HttpAnswer(status, headers, body.getArray()));
    }

    @Override
    public Promise<Void> start() {
        return client.start().toVoid();
    }

    @Override
    public Promise<Void> stop() {
        return client.stop().toVoid();
    }
}
