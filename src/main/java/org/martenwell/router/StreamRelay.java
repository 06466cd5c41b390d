package org.martenwell.router;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.martenwell.configuration.Target;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.stream.EventBatch;
import org.martenwell.stream.EventSplitter;
import org.martenwell.target.TargetConnector;
import org.martenwell.target.TargetResponse;

/**
 * Passes an engine's stream on to a caller, whole events at a time and only as fast as the caller
 * takes them. A broken stream goes on behind the last whole event; one that can't ends with an
 * error event and never as if it were whole.
 */
final class StreamRelay extends AbstractChannelSupplier<ByteBuf> {

    /** How often a broken stream is resumed without an event in between. */
    private static final int MAX_RESUMES = 3;

    /** How long an engine may send nothing within a stream, in milliseconds. */
    private static final long STALL_MILLIS = 15_000;

    /** How long to wait before a stream is resumed, in milliseconds, for each time in a row. */
    private static final long RESUME_DELAY_MILLIS = 50;

    /** Talks to the target. */
    private final TargetConnector connector;

    /** The target that runs the request. */
    private final Target target;

    /** The request's id. */
    private final String requestId;

    /** Is told of the stream's course. */
    private final StreamListener listener;

    /** Cuts the stream behind whole events. */
    private final EventSplitter splitter = new EventSplitter();

    /** The engine's stream. */
    private ChannelSupplier<ByteBuf> source;

    /** The id of the last whole event passed on. */
    private Optional<String> lastId = Optional.empty();

    /** How often the stream was resumed since the last event that carried data. */
    private int resumes;

    /** {@code true} once the end marker or an error event was passed on. */
    private boolean ended;

    /**
     * Creates a relay.
     *
     * @param connector Talks to the target.
     * @param target The target that runs the request.
     * @param requestId The request's id.
     * @param source The engine's stream.
     * @param listener Is told of the stream's course.
     */
    StreamRelay(
            TargetConnector connector,
            Target target,
            String requestId,
            ChannelSupplier<ByteBuf> source,
            StreamListener listener) {
        this.connector = connector;
        this.target = target;
        this.requestId = requestId;
        this.source = source;
        this.listener = listener;
    }

    @Override
    protected Promise<ByteBuf> doGet() {
        if (ended) {
            return Promise.of(null);
        }
        return Promises.timeout(Duration.ofMillis(STALL_MILLIS), source.get())
                .then(this::received, this::broken);
    }

    @Override
    protected void onClosed(Exception exception) {
        source.closeEx(exception);
        if (!ended) {
            ended = true;
            connector.cancel(target, requestId);
            listener.left();
        }
    }

    /**
     * Passes on what arrived.
     *
     * @param buffer The bytes or {@code null} if the connection ended.
     * @return The next whole events.
     */
    private Promise<ByteBuf> received(ByteBuf buffer) {
        if (buffer == null) {
            return broken(new IllegalStateException("The stream ended early."));
        }
        EventBatch batch = splitter.receive(buffer.asArray());
        if (batch.bytes().isEmpty()) {
            return doGet();
        }
        resumes = batch.count() > 0 ? 0 : resumes;
        lastId = batch.lastId().or(() -> lastId);
        listener.events(batch.count());
        if (batch.ended()) {
            ended = true;
            source.close();
            listener.ended();
        }
        return Promise.of(ByteBuf.wrapForReading(batch.bytes().array()));
    }

    /**
     * Resumes a broken stream, or ends it with an error event.
     *
     * @param cause Why it broke.
     * @return The next whole events.
     */
    private Promise<ByteBuf> broken(Exception cause) {
        splitter.reset();
        source.closeEx(cause);
        if (isClosed() || ended) {
            return Promise.ofException(cause);
        }
        if (lastId.isEmpty() || resumes >= MAX_RESUMES) {
            return Promise.of(fail(cause));
        }
        resumes++;
        listener.resumed(lastId.get());
        return Promises.delay(Duration.ofMillis(RESUME_DELAY_MILLIS * resumes))
                .then(() -> connector.resume(target, requestId, lastId.get()))
                .then(this::resumed, this::broken);
    }

    /**
     * Goes on with a resumed stream.
     *
     * @param answer The beginning of the rest.
     * @return The next whole events.
     */
    private Promise<ByteBuf> resumed(TargetResponse answer) {
        source = answer.body();
        if (isClosed()) {
            source.close();
            return Promise.ofException(new IllegalStateException("The caller left."));
        }
        if (answer.status() != 200) {
            resumes = MAX_RESUMES;
            return broken(new IllegalStateException("The engine answered " + answer.status()));
        }
        return doGet();
    }

    /**
     * Ends the stream with an error event.
     *
     * @param cause Why it broke.
     * @return The error event.
     */
    private ByteBuf fail(Exception cause) {
        ended = true;
        MartenwellException failure =
                MartenwellException.of(
                        ErrorKind.STREAM_BROKEN, "The answer broke off and is not whole.", cause);
        listener.failed(failure);
        byte[] body = ErrorBody.of(failure, requestId);
        String event = "event: error\ndata: " + new String(body, StandardCharsets.UTF_8) + "\n\n";
        return ByteBuf.wrapForReading(event.getBytes(StandardCharsets.UTF_8));
    }
}
