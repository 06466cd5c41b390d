package org.martenwell.gateway;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.martenwell.balance.RunningRequest;
import org.martenwell.exchange.ConnectionHistory;
import org.martenwell.exchange.OutboundRequest;
import org.martenwell.exchange.ResponseFailure;
import org.martenwell.exchange.ResponseFraming;
import org.martenwell.exchange.ResponseListener;
import org.martenwell.exchange.ResponseMatch;
import org.martenwell.exchange.TargetConnection;

/**
 * One attempt to send a request to one target. It accounts for the request in the target's load and
 * returns the connection to the pool.
 */
final class SendAttempt implements ResponseListener {

    /** The parameter of the {@code Keep-Alive} header with the idle timeout in seconds. */
    private static final Pattern IDLE_TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

    private static final String KEEP_ALIVE = "Keep-Alive";

    /**
     * The time before the target's idle timeout at which an idle connection is closed, in
     * milliseconds. This avoids sending a request on a connection that the target is about to
     * close.
     */
    private static final long IDLE_MARGIN_MILLIS = 400;

    private static final long MILLIS_PER_SECOND = 1_000;

    /** The most bytes of an ignored response that are read so that its connection can be reused. */
    private static final int MAX_IGNORED_BYTES = 65_536;

    private final GatewayCore core;

    private final AcceptedRequest request;

    /** The number of requests at the target when this one was sent, including it. */
    private final int loadWhenSent;

    /** Handles the events of the attempt. */
    private AttemptListener listener;

    private final KnownTarget target;

    private final RunningRequest running;

    /** The connection or {@code null} while it opens. */
    private TargetConnection connection;

    /** The run of the target in which the request was written, or {@code null} before. */
    private TargetRun run;

    /** The idle timeout of the connection, in milliseconds, or 0 if the target stated none. */
    private long idleMillis;

    /** The time at which the attempt began on the responsive clock. */
    private final long begunMillis;

    /** The time at which the last chunk of the body arrived on the responsive clock. */
    private long lastReceivedMillis;

    private boolean bodyStarted;

    /** The time at which the first chunk of the body arrived on the responsive clock. */
    private long bodyStartedMillis;

    /** Set once the listener was notified that the target survived the start of its response. */
    private boolean survived;

    /** The bytes of the response that arrived since it is ignored. */
    private int ignoredBytes;

    /** Set once the listener ignores further events of this attempt. */
    private boolean over;

    /**
     * Creates an attempt.
     *
     * @param request The request.
     * @param listener Handles the events of the attempt.
     * @param target The target.
     * @param running The load that the request puts on the target.
     */
    SendAttempt(
            AcceptedRequest request,
            AttemptListener listener,
            KnownTarget target,
            RunningRequest running) {
        this.core = request.core();
        this.request = request;
        this.listener = listener;
        this.target = target;
        this.running = running;
        this.loadWhenSent = target.load().totalLoad(core.now()).requests() + 1;
        this.begunMillis = core.clock().millis();
        this.lastReceivedMillis = begunMillis;
    }

    /**
     * Sends the request over an idle or a new connection.
     *
     * @param head The request.
     */
    void send(OutboundRequest head) {
        target.load().sent(running);
        target.connections().send(head, this, this::opened);
    }

    /**
     * Sets the listener that handles all further events.
     *
     * @param successor The listener.
     */
    void reportTo(AttemptListener successor) {
        listener = successor;
    }

    /** {@return the number of requests at the target when this one was sent, including it} */
    int loadWhenSent() {
        return loadWhenSent;
    }

    /**
     * Returns the target of this attempt.
     *
     * @return The target.
     */
    KnownTarget target() {
        return target;
    }

    /**
     * Returns the run of the target in which the request was written.
     *
     * @return The run, the current one before the request is written.
     */
    TargetRun run() {
        return run == null ? TargetRun.current(target) : run;
    }

    /**
     * Returns the load that the request puts on the target.
     *
     * @return The load.
     */
    RunningRequest running() {
        return running;
    }

    /**
     * Returns the time since the attempt began, without delays of the event loop.
     *
     * @return The time in milliseconds.
     */
    long elapsedMillis() {
        return core.clock().millis() - begunMillis;
    }

    /**
     * Returns the time since the last chunk of the body arrived, without delays of the event loop.
     *
     * @return The time in milliseconds, counted from sending before the first chunk.
     */
    long silentMillis() {
        return core.clock().millis() - lastReceivedMillis;
    }

    /**
     * Returns whether the attempt is over.
     *
     * @return {@code true} if its response ended, failed or is no longer wanted.
     */
    boolean over() {
        return over;
    }

    /** Cancels the attempt and closes its connection, so that the target stops its work. */
    void cancel() {
        if (!over) {
            over = true;
            target.load().ended(running);
            if (connection != null) {
                connection.cancel();
            }
        }
    }

    /** Ignores the rest of the response but reads it, so that the connection can be reused. */
    void ignoreResponse() {
        over = true;
        target.load().ended(running);
    }

    /** Ends a close-delimited response with what has arrived. */
    void endResponse() {
        connection.endCloseDelimited();
    }

    /** Pauses reading the response until {@link #resume}. */
    void pause() {
        connection.pause();
    }

    /** Resumes reading the response. */
    void resume() {
        connection.resume();
    }

    @Override
    public Optional<String> requestId() {
        return request.metadata().requestId();
    }

    /**
     * {@inheritDoc} All attempts of a request have the id that its caller chose, so each needs a
     * connection of its own.
     */
    @Override
    public boolean accepts(ConnectionHistory history) {
        return requestId().map(id -> !history.contains(id)).orElse(history.requests() == 0);
    }

    @Override
    public ResponseMatch match(HttpResponse head) {
        return ResponseMatch.of(requestId(), core.dialect().requestId(head));
    }

    @Override
    public boolean recognises(HttpResponse head) {
        return core.dialect().isFromTarget(head) || core.dialect().requestId(head).isPresent();
    }

    @Override
    public void discarded(HttpResponse head, ResponseMatch match) {
        core.log()
                .targets()
                .responseDiscarded(
                        target.load().target().incarnation(),
                        head.status().code(),
                        DiscardCause.of(match));
    }

    @Override
    public void headReceived(HttpResponse head) {
        Matcher timeout = IDLE_TIMEOUT.matcher(head.headers().get(KEEP_ALIVE, ""));
        if (timeout.find()) {
            long statedMillis = Long.parseLong(timeout.group(1)) * MILLIS_PER_SECOND;
            idleMillis = Math.max(1, statedMillis - IDLE_MARGIN_MILLIS);
        }
        if (!over) {
            request.guard().run(() -> listener.responseStarted(this, head));
        }
    }

    @Override
    public void bodyPartReceived(byte[] piece) {
        lastReceivedMillis = core.clock().millis();
        if (!over) {
            request.guard().run(() -> forward(piece));
        } else {
            ignoredBytes += piece.length;
            if (ignoredBytes > MAX_IGNORED_BYTES) {
                connection.cancel();
            }
        }
    }

    private void forward(byte[] piece) {
        recordBodyProgress();
        if (!listener.bodyReceived(piece) && !over) {
            cancel();
            listener.attemptFailed(this, ResponseFailure.TOO_LARGE);
        }
    }

    @Override
    public void completed(ResponseFraming framing) {
        boolean active = !over;
        over = true;
        target.load().ended(running);
        target.connections().release(connection, idleMillis);
        if (active) {
            request.guard().run(() -> listener.responseEnded(this, framing));
        }
    }

    @Override
    public void failed(ResponseFailure failure) {
        if (!over) {
            over = true;
            target.load().ended(running);
            request.guard().run(() -> listener.attemptFailed(this, failure));
        }
    }

    /**
     * Records the first chunk of the body, which shows that the target has prefilled the prompt,
     * and the first one some time later, which shows that the target runs on.
     */
    private void recordBodyProgress() {
        if (!bodyStarted) {
            bodyStarted = true;
            bodyStartedMillis = lastReceivedMillis;
            target.load().firstEventArrived(running);
            listener.bodyStarted(this);
        } else if (!survived
                && lastReceivedMillis - bodyStartedMillis >= HarmfulRequests.SURVIVAL_MILLIS) {
            survived = true;
            listener.responseContinues();
        }
    }

    private void opened(TargetConnection opened) {
        connection = opened;
        run = TargetRun.current(target);
        request.guard().run(() -> checkOpened(opened));
    }

    private void checkOpened(TargetConnection opened) {
        if (over) {
            opened.cancel();
        } else if (!core.targets().acceptsRequests(target.load(), core.now())) {
            // The target may have started to drain, asked for a pause or been evacuated while the
            // connection opened, which takes up to 400 ms.
            cancel();
            listener.targetUnavailable(this);
        } else {
            listener.requestWritten(this, opened.history().requests());
        }
    }
}
