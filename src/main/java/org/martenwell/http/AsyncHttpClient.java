package org.martenwell.http;

import io.activej.async.exception.AsyncTimeoutException;
import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufs;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.martenwell.exchange.Body;
import org.martenwell.exchange.KeepAlive;
import org.martenwell.exchange.OutboundRequest;
import org.martenwell.exchange.ResponseHeadListener;
import org.martenwell.exchange.TargetConnections;
import org.martenwell.service.IpAddress;
import org.martenwell.service.ManagedService;
import org.martenwell.service.ResponseTimeout;

/**
 * An HTTP client on an event loop. It never retries a request by itself, and it takes IP addresses
 * only, so that no DNS lookups occur.
 */
public final class AsyncHttpClient implements ManagedService {

    private static final long CONNECT_TIMEOUT_MILLIS = 2_000;

    private static final String SCHEME = "http://";

    private final NioReactor reactor;

    /** The clock of timeouts. */
    private final LongSupplier clock;

    private final int maxBodyBytes;

    /** {@code true} if connections are kept for further requests. */
    private final boolean reusesConnections;

    /** The connections that are kept, by server. */
    private final Map<InetSocketAddress, TargetConnections> pools = new HashMap<>();

    /** The exchanges whose connections are in use. */
    private final Set<ClientExchange> exchanges = new HashSet<>();

    private boolean stopped;

    private AsyncHttpClient(
            NioReactor reactor, LongSupplier clock, int maxBodyBytes, boolean reusesConnections) {
        this.reactor = reactor;
        this.clock = clock;
        this.maxBodyBytes = maxBodyBytes;
        this.reusesConnections = reusesConnections;
    }

    /**
     * Creates a client that reuses connections.
     *
     * @param reactor The event loop.
     * @param clock Returns the time, in milliseconds; by it timeouts are measured.
     * @param maxBodyBytes The maximum size of a response body that is read completely, in bytes.
     * @return The client.
     */
    public static AsyncHttpClient pooled(NioReactor reactor, LongSupplier clock, int maxBodyBytes) {
        return new AsyncHttpClient(reactor, clock, maxBodyBytes, true);
    }

    /**
     * Creates a client that opens a connection for each request, so that no request fails because
     * the server closed an idle connection.
     *
     * @param reactor The event loop.
     * @param clock Returns the time, in milliseconds; by it timeouts are measured.
     * @param maxBodyBytes The maximum size of a response body that is read completely, in bytes.
     * @return The client.
     */
    public static AsyncHttpClient single(NioReactor reactor, LongSupplier clock, int maxBodyBytes) {
        return new AsyncHttpClient(reactor, clock, maxBodyBytes, false);
    }

    /**
     * Sends a request and reads the complete response.
     *
     * @param method The method.
     * @param url The URL, with an IP address as its host.
     * @param headers The header fields.
     * @param body The body, empty for none.
     * @param timeoutMillis The timeout for the complete exchange, in milliseconds.
     * @return The response, or an exception as with {@link #send}, also if the response is too
     *     large.
     */
    public Promise<BufferedHttpResponse> exchange(
            HttpMethod method,
            String url,
            List<HeaderField> headers,
            byte[] body,
            long timeoutMillis) {
        ClientExchange exchange = begin(method, url, headers, body);
        Promise<BufferedHttpResponse> whole = exchange.response().then(this::readWhole);
        return ResponseTimeout.limit(reactor, clock, timeoutMillis, whole)
                .whenException(failure -> exchange.cancel());
    }

    /**
     * Sends a request and awaits the head of its response.
     *
     * @param method The method.
     * @param url The URL, with an IP address as its host.
     * @param headers The header fields.
     * @param body The body, empty for none.
     * @param timeoutMillis The time until the head must arrive, in milliseconds.
     * @return The response, whose body has not been read yet, a {@link ConnectException} if
     *     certainly no byte was sent, or an {@link AsyncTimeoutException}.
     */
    public Promise<StreamedHttpResponse> send(
            HttpMethod method,
            String url,
            List<HeaderField> headers,
            byte[] body,
            long timeoutMillis) {
        ClientExchange exchange = begin(method, url, headers, body);
        return ResponseTimeout.limit(reactor, clock, timeoutMillis, exchange.response())
                .whenException(failure -> exchange.cancel());
    }

    /**
     * Reads the complete body of a response.
     *
     * @param response The response, whose body has not been read yet.
     * @return The response with its body, or an exception if that is too large.
     */
    public Promise<BufferedHttpResponse> readWhole(StreamedHttpResponse response) {
        return response.body()
                .toCollector(ByteBufs.collector(maxBodyBytes))
                .map(ByteBuf::asArray)
                .map(body -> new BufferedHttpResponse(response.status(), response.headers(), body))
                .whenException(failure -> response.body().close());
    }

    /** {@return the number of exchanges whose connections are in use} */
    int inProgress() {
        return exchanges.size();
    }

    private ClientExchange begin(
            HttpMethod method, String url, List<HeaderField> headers, byte[] body) {
        int pathStart = url.indexOf('/', SCHEME.length());
        String server = url.substring(SCHEME.length(), pathStart);
        TargetConnections connections = connections(IpAddress.of(server));
        ClientExchange exchange =
                new ClientExchange(method, connections, reusesConnections, exchanges::remove);
        if (stopped) {
            exchange.fail(new ConnectException("The client has stopped."));
            return exchange;
        }
        try {
            OutboundRequest request =
                    new OutboundRequest(
                            method,
                            url.substring(pathStart),
                            fields(server, headers),
                            Body.of(body));
            exchanges.add(exchange);
            connections.send(request, exchange, exchange::opened);
        } catch (IllegalArgumentException invalid) {
            exchange.fail(new ConnectException("A field of the request is invalid: " + invalid));
        }
        return exchange;
    }

    private HttpHeaders fields(String server, List<HeaderField> fields) {
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        fields.forEach(each -> headers.add(each.name(), each.value()));
        headers.set(HttpHeaderNames.HOST, server);
        if (!reusesConnections) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return headers;
    }

    private TargetConnections connections(InetSocketAddress address) {
        return reusesConnections
                ? pools.computeIfAbsent(address, this::newConnections)
                : newConnections(address);
    }

    private TargetConnections newConnections(InetSocketAddress address) {
        return new TargetConnections(
                reactor,
                address,
                CONNECT_TIMEOUT_MILLIS,
                KeepAlive.PROBED,
                ResponseHeadListener.NONE);
    }

    @Override
    public Promise<Void> start() {
        return Promise.complete();
    }

    /** {@inheritDoc} Requests in progress and further ones fail. */
    @Override
    public Promise<Void> stop() {
        stopped = true;
        ConnectException reason = new ConnectException("The client has stopped.");
        Set.copyOf(exchanges).forEach(each -> each.fail(reason));
        pools.values().forEach(TargetConnections::close);
        return Promise.complete();
    }
}
