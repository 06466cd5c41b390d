package org.martenwell.router;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.nio.NioReactor;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.martenwell.configuration.Target;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.service.ResponseTimeout;
import org.martenwell.stream.EventBatch;
import org.martenwell.stream.EventSplitter;
import org.martenwell.target.TargetConnector;
import org.martenwell.target.TargetResponse;

/**
 * Relays an engine's event stream to a caller. Only complete events are relayed, no faster than the
 * caller reads. An interrupted stream is resumed after the last complete event; if that fails, it
 * ends with an error event and without the end marker.
 */
final class StreamRelay extends AbstractChannelSupplier<ByteBuf> {

    /** Maximum number of consecutive resumes without an event that carries data. */
    private static final int MAX_RESUMES = 3;

    /** Maximum time to wait for data from an engine within a stream. */
    private static final long STALL_MILLIS = 15_000;

    /** Delay before the first resume; it grows by this amount with each consecutive one. */
    private static final long RESUME_DELAY_MILLIS = 50;

    private final NioReactor loop;

    /** The clock of timeouts. */
    private final LongSupplier clock;

    private final TargetConnector connector;

    private final Target target;

    private final String requestId;

    private final StreamListener listener;

    private final EventSplitter splitter = new EventSplitter();

    private ChannelSupplier<ByteBuf> source;

    /** Id of the last complete event relayed. */
    private Optional<String> lastId = Optional.empty();

    /** Number of consecutive resumes since the last event that carried data. */
    private int resumes;

    /** Set once the end marker or an error event was relayed. */
    private boolean terminated;

    /**
     * Creates a relay.
     *
     * @param reactor The event loop.
     * @param clock Returns the time, in milliseconds; by it the silence of engines is measured.
     * @param connector The connector that resumes and cancels requests.
     * @param target The target that runs the request.
     * @param requestId The request's id.
     * @param source The engine's event stream.
     * @param listener The listener for the stream.
     */
    StreamRelay(
            NioReactor reactor,
            LongSupplier clock,
            TargetConnector connector,
            Target target,
            String requestId,
            ChannelSupplier<ByteBuf> source,
            StreamListener listener) {
        this.loop = reactor;
        this.clock = clock;
        this.connector = connector;
        this.target = target;
        this.requestId = requestId;
        this.source = source;
        this.listener = listener;
    }

    @Override
    protected Promise<ByteBuf> doGet() {
        if (terminated) {
            return Promise.of(null);
        }
        return ResponseTimeout.limit(loop, clock, STALL_MILLIS, source.get())
                .then(this::onReceived, this::onInterrupted);
    }

    @Override
    protected void onClosed(Exception exception) {
        source.closeEx(exception);
        if (!terminated) {
            terminated = true;
            connector.cancel(target, requestId);
            listener.disconnected();
        }
    }

    private Promise<ByteBuf> onReceived(ByteBuf buffer) {
        if (buffer == null) {
            return onInterrupted(
                    new IllegalStateException("The stream ended without its end marker."));
        }
        EventBatch batch = splitter.receive(buffer.asArray());
        if (batch.bytes().isEmpty()) {
            return doGet();
        }
        resumes = batch.count() > 0 ? 0 : resumes;
        lastId = batch.lastId().or(() -> lastId);
        listener.events(batch.count());
        if (batch.ended()) {
            terminated = true;
            source.close();
            listener.completed();
        }
        return Promise.of(ByteBuf.wrapForReading(batch.bytes().array()));
    }

    /** Resumes an interrupted stream, or ends it with an error event. */
    private Promise<ByteBuf> onInterrupted(Exception cause) {
        splitter.reset();
        source.closeEx(cause);
        if (isClosed() || terminated) {
            return Promise.ofException(cause);
        }
        if (lastId.isEmpty() || resumes >= MAX_RESUMES) {
            return Promise.of(fail(cause));
        }
        resumes++;
        listener.resumed(lastId.get());
        return Promises.delay(Duration.ofMillis(RESUME_DELAY_MILLIS * resumes))
                .then(() -> connector.resume(target, requestId, lastId.get()))
                .then(this::onResumed, this::onInterrupted);
    }

    private Promise<ByteBuf> onResumed(TargetResponse response) {
        source = response.body();
        if (isClosed()) {
            source.close();
            return Promise.ofException(new IllegalStateException("The caller disconnected."));
        }
        if (response.status() != 200) {
            resumes = MAX_RESUMES;
            return onInterrupted(
                    new IllegalStateException(
                            "The engine responded with status " + response.status()));
        }
        return doGet();
    }

    /** Ends the stream and returns the error event for the caller. */
    private ByteBuf fail(Exception cause) {
        terminated = true;
        MartenwellException failure =
                MartenwellException.of(
                        ErrorKind.STREAM_BROKEN, "The stream broke off and is incomplete.", cause);
        listener.failed(failure);
        byte[] body = ErrorBody.of(failure, requestId);
        String event = "event: error\ndata: " + new String(body, StandardCharsets.UTF_8) + "\n\n";
        return ByteBuf.wrapForReading(event.getBytes(StandardCharsets.UTF_8));
    }
}
