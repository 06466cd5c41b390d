package org.martenwell.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.martenwell.peer.OffloadedResponse;
import org.martenwell.peer.ResponsePart;

/**
 * The parts of responses that wait to be sent to one gateway. They are collected for a short time,
 * so that it processes many in one message. They are kept while it is not connected or reads
 * slowly.
 */
final class ResponseOutbox {

    /** The longest time for which parts are collected, in milliseconds. */
    static final long COLLECT_MILLIS = 15;

    /** The size of a message above which parts go to the next one, in bytes. */
    private static final int MESSAGE_BYTES = 1 << 16;

    /** The size that a part counts beside its body, in bytes. */
    private static final int PART_BYTES = 64;

    /** A part and what to do once it has been sent. */
    private record Entry(ResponsePart part, Runnable onSent) {}

    private final GatewayCore core;

    private final String name;

    private final String peer;

    private final OffloadLinks links;

    private final Deque<Entry> entries = new ArrayDeque<>();

    private long queuedBytes;

    /** Set while a flush is scheduled. */
    private boolean flushScheduled;

    /** The time since which the gateway is not connected while parts wait, negative if it is. */
    private long unconnectedSinceMillis = -1;

    /**
     * Creates an empty outbox.
     *
     * @param core The state that all requests share.
     * @param name This gateway's name.
     * @param peer The gateway to send to.
     * @param links The connections.
     */
    ResponseOutbox(GatewayCore core, String name, String peer, OffloadLinks links) {
        this.core = core;
        this.name = name;
        this.peer = peer;
        this.links = links;
    }

    /**
     * Adds a part.
     *
     * @param part The part.
     * @param urgent {@code true} to send it at once, with all that waits.
     * @param onSent Called once it is handed to the connection or discarded.
     */
    void add(ResponsePart part, boolean urgent, Runnable onSent) {
        entries.add(new Entry(part, onSent));
        queuedBytes += part.bodyBytes();
        if (urgent) {
            flush();
        } else {
            scheduleFlush();
        }
    }

    /** {@return the bytes of bodies that wait} */
    long queuedBytes() {
        return queuedBytes;
    }

    /** {@return {@code true} if nothing waits} */
    boolean isEmpty() {
        return entries.isEmpty();
    }

    /**
     * Returns for how long the gateway has not been connected while parts wait.
     *
     * @return The time in milliseconds, 0 if it is connected or nothing waits.
     */
    long unconnectedMillis() {
        return unconnectedSinceMillis < 0 ? 0 : core.now() - unconnectedSinceMillis;
    }

    /** Sends what waits as far as the gateway reads it. */
    void flush() {
        while (!entries.isEmpty() && links.hasRoom(peer)) {
            sendMessage();
        }
        boolean waits = !entries.isEmpty() && !links.connected(peer);
        if (!waits) {
            unconnectedSinceMillis = -1;
        } else if (unconnectedSinceMillis < 0) {
            unconnectedSinceMillis = core.now();
        }
        if (!entries.isEmpty()) {
            scheduleFlush();
        }
    }

    /** Discards all parts. */
    void clear() {
        List<Entry> discarded = new ArrayList<>(entries);
        entries.clear();
        queuedBytes = 0;
        unconnectedSinceMillis = -1;
        discarded.forEach(each -> each.onSent().run());
    }

    private void sendMessage() {
        List<ResponsePart> parts = new ArrayList<>();
        List<Entry> sent = new ArrayList<>();
        int bytes = 0;
        while (!entries.isEmpty() && bytes < MESSAGE_BYTES) {
            Entry next = entries.poll();
            sent.add(next);
            parts.add(next.part());
            queuedBytes -= next.part().bodyBytes();
            bytes += PART_BYTES + next.part().bodyBytes();
        }
        links.send(peer, new OffloadedResponse(name, parts));
        sent.forEach(each -> each.onSent().run());
    }

    private void scheduleFlush() {
        if (!flushScheduled) {
            flushScheduled = true;
            core.reactor()
                    .delayBackground(
                            COLLECT_MILLIS,
                            () -> {
                                flushScheduled = false;
                                flush();
                            });
        }
    }
}
