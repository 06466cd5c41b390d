package org.martenwell.gateway;

import io.netty.handler.codec.http.HttpResponse;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.martenwell.balance.RunningRequest;
import org.martenwell.exchange.AnswerFailure;
import org.martenwell.exchange.AnswerListener;
import org.martenwell.exchange.TargetConnection;
import org.martenwell.exchange.TargetRequestHead;

/** One sending of a request to one target. It keeps the target's load and connection in order. */
final class SendAttempt implements AnswerListener {

    /** The part of a header that tells how long a connection may rest. */
    private static final Pattern REST = Pattern.compile("timeout=(\\d{1,6})");

    /** The header that tells how long a connection may rest. */
    private static final String KEEP_ALIVE = "Keep-Alive";

    /** How much sooner than told a resting connection is given up, in milliseconds. */
    private static final long REST_MARGIN_MILLIS = 400;

    /** How many milliseconds a second has. */
    private static final long SECOND_MILLIS = 1_000;

    /** The request. */
    private final RequestDispatch dispatch;

    /** The target. */
    private final KnownTarget target;

    /** What the request puts on the target. */
    private final RunningRequest running;

    /** The connection or {@code null} while it opens. */
    private TargetConnection connection;

    /** How long the connection may rest afterwards, in milliseconds, or 0. */
    private long restMillis;

    /** When the target was last heard, in milliseconds. */
    private long heardMillis;

    /** Whether the target's work for the request began to arrive. */
    private boolean begun;

    /** Whether the attempt is over for the request. */
    private boolean over;

    /**
     * Creates an attempt.
     *
     * @param dispatch The request.
     * @param target The target.
     * @param running What the request puts on the target.
     */
    SendAttempt(RequestDispatch dispatch, KnownTarget target, RunningRequest running) {
        this.dispatch = dispatch;
        this.target = target;
        this.running = running;
        this.heardMillis = running.sentMillis();
    }

    /**
     * Sends the request.
     *
     * @param head The request.
     */
    void send(TargetRequestHead head) {
        target.load().sent(running);
        target.connections().send(head, this, this::opened);
    }

    /**
     * Returns the target.
     *
     * @return The target.
     */
    KnownTarget target() {
        return target;
    }

    /**
     * Returns what the request puts on the target.
     *
     * @return The load.
     */
    RunningRequest running() {
        return running;
    }

    /**
     * Returns how long the target has sent nothing.
     *
     * @return The time in milliseconds.
     */
    long silentMillis() {
        return dispatch.now() - heardMillis;
    }

    /**
     * Returns whether the attempt is over.
     *
     * @return {@code true} if its answer ended, failed or is no longer wanted.
     */
    boolean over() {
        return over;
    }

    /** Ends the attempt, so that the target stops its work. */
    void cancel() {
        if (!over) {
            over = true;
            target.load().ended(running);
            if (connection != null) {
                connection.cancel();
            }
        }
    }

    /** Leaves the rest of the answer unread, but lets it arrive, so that its connection lasts. */
    void release() {
        over = true;
        target.load().ended(running);
    }

    /** Stops reading the answer until {@link #resume}. */
    void pause() {
        connection.pause();
    }

    /** Reads on. */
    void resume() {
        connection.resume();
    }

    @Override
    public boolean belongs(HttpResponse head) {
        return dispatch.belongs(head);
    }

    @Override
    public void begun(HttpResponse head) {
        Matcher rest = REST.matcher(head.headers().get(KEEP_ALIVE, ""));
        if (rest.find()) {
            long told = Long.parseLong(rest.group(1)) * SECOND_MILLIS;
            restMillis = Math.max(1, told - REST_MARGIN_MILLIS);
        }
        if (!over) {
            dispatch.answerBegun(this, head);
        }
    }

    @Override
    public void received(byte[] piece) {
        heardMillis = dispatch.now();
        if (!over) {
            noteBegun();
            dispatch.answerReceived(piece);
        }
    }

    @Override
    public void ended() {
        boolean open = !over;
        over = true;
        target.load().ended(running);
        target.connections().keep(connection, restMillis);
        if (open) {
            dispatch.answerEnded(this);
        }
    }

    @Override
    public void failed(AnswerFailure failure) {
        if (!over) {
            over = true;
            target.load().ended(running);
            dispatch.attemptFailed(this, failure);
        }
    }

    /** Notes that the target has read the prompt. */
    private void noteBegun() {
        if (!begun) {
            begun = true;
            target.load().firstEventArrived(running);
            dispatch.firstPiece(this);
        }
    }

    /**
     * Takes the connection.
     *
     * @param opened The connection.
     */
    private void opened(TargetConnection opened) {
        connection = opened;
        if (over) {
            opened.cancel();
        } else if (!target.load().availability().isAvailable(dispatch.now())) {
            // Opening a connection takes up to 400 ms, in which the target may have said that it
            // leaves or rests.
            cancel();
            dispatch.targetClosed(this);
        }
    }
}
