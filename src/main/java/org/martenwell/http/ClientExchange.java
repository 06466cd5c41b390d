package org.martenwell.http;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.io.IOException;
import java.net.ConnectException;
import java.util.List;
import java.util.function.Consumer;
import org.martenwell.exchange.ResponseFailure;
import org.martenwell.exchange.ResponseFraming;
import org.martenwell.exchange.ResponseListener;
import org.martenwell.exchange.ResponseMatch;
import org.martenwell.exchange.TargetConnection;
import org.martenwell.exchange.TargetConnections;

/** A request and the response to it, which is read as it arrives. */
final class ClientExchange implements ResponseListener {

    private final HttpMethod method;

    private final TargetConnections connections;

    /** {@code false} if the connection closes behind the response. */
    private final boolean reuseConnection;

    private final Consumer<ClientExchange> endListener;

    private final SettablePromise<StreamedHttpResponse> response = new SettablePromise<>();

    /** The connection, or {@code null} while it is being opened. */
    private TargetConnection connection;

    /** The body of the response, or {@code null} before its head has arrived. */
    private ReceivedBody body;

    private boolean cancelled;

    /**
     * Creates an exchange that has not been sent.
     *
     * @param method The method of the request.
     * @param connections The connections to the server.
     * @param reuseConnection {@code false} to close the connection behind the response.
     * @param endListener Called when the connection is no longer used, possibly more than once.
     */
    ClientExchange(
            HttpMethod method,
            TargetConnections connections,
            boolean reuseConnection,
            Consumer<ClientExchange> endListener) {
        this.method = method;
        this.connections = connections;
        this.reuseConnection = reuseConnection;
        this.endListener = endListener;
    }

    /**
     * Returns the response.
     *
     * @return A promise that completes with the head of the response, or with a {@link
     *     ConnectException} if certainly no byte was sent.
     */
    Promise<StreamedHttpResponse> response() {
        return response;
    }

    /**
     * Stores the opened connection, or cancels it if the response is no longer wanted.
     *
     * @param opened The connection.
     */
    void opened(TargetConnection opened) {
        connection = opened;
        if (cancelled) {
            opened.cancel();
        }
    }

    /** Closes the connection, since the response is no longer wanted. */
    void cancel() {
        cancelled = true;
        if (body != null) {
            body.close();
        } else if (connection != null) {
            connection.cancel();
        }
        endListener.accept(this);
    }

    /**
     * Cancels the exchange and fails its response, if that has not begun.
     *
     * @param reason The reason.
     */
    void fail(IOException reason) {
        cancel();
        response.trySetException(reason);
    }

    @Override
    public ResponseMatch match(HttpResponse head) {
        return ResponseMatch.SAME;
    }

    @Override
    public void headReceived(HttpResponse head) {
        body = new ReceivedBody(connection, () -> endListener.accept(this));
        List<HeaderField> fields =
                head.headers().entries().stream()
                        .map(each -> new HeaderField(each.getKey(), each.getValue()))
                        .toList();
        boolean framed = ResponseFraming.of(method, head).showsTruncation();
        response.set(new StreamedHttpResponse(head.status().code(), fields, body, framed));
    }

    @Override
    public void bodyPartReceived(byte[] piece) {
        body.receive(piece);
    }

    @Override
    public void completed(ResponseFraming framing) {
        if (reuseConnection) {
            connections.release(connection, 0);
        } else {
            connection.cancel();
        }
        endListener.accept(this);
        body.end();
    }

    @Override
    public void failed(ResponseFailure failure) {
        endListener.accept(this);
        IOException exception =
                failure.sent()
                        ? new IOException("The response failed: " + failure)
                        : new ConnectException("Connecting failed: " + failure);
        if (body != null) {
            body.fail(exception);
        } else {
            response.trySetException(exception);
        }
    }
}
