package org.martenwell.peer;

import java.util.Map;
import java.util.TreeMap;

/** Counts what is sent to peers and received from them. */
public final class PeerTraffic {

    /** The bytes of messages sent, by kind of message. */
    private final Map<String, Long> bytesByKind = new TreeMap<>();

    /** The bytes sent. */
    private long bytesSent;

    /** The messages sent. */
    private long messagesSent;

    /** The bytes received. */
    private long bytesReceived;

    /** The frames that were not accepted. */
    private long badFrames;

    /** Creates counters at zero. */
    public PeerTraffic() {}

    /**
     * Counts what a frame adds to its messages.
     *
     * @param bytes The size of its length and signature.
     */
    void frameOverheadSent(int bytes) {
        bytesSent += bytes;
    }

    /**
     * Counts a message sent.
     *
     * @param type Its kind.
     * @param bytes Its size.
     */
    void messageSent(MessageType type, int bytes) {
        bytesSent += bytes;
        messagesSent++;
        bytesByKind.merge(type.metricName(), (long) bytes, Long::sum);
    }

    /**
     * Returns the bytes of messages sent, without what frames add.
     *
     * @return The numbers since the start, by kind of message.
     */
    public Map<String, Long> bytesByKind() {
        return new TreeMap<>(bytesByKind);
    }

    /**
     * Counts a frame received.
     *
     * @param bytes Its size.
     */
    void frameReceived(int bytes) {
        bytesReceived += bytes;
    }

    /** Counts a frame that was not accepted. */
    void frameRejected() {
        badFrames++;
    }

    /**
     * Returns the bytes sent.
     *
     * @return The number since the start.
     */
    public long bytesSent() {
        return bytesSent;
    }

    /**
     * Returns the messages sent.
     *
     * @return The number since the start.
     */
    public long messagesSent() {
        return messagesSent;
    }

    /**
     * Returns the bytes received.
     *
     * @return The number since the start.
     */
    public long bytesReceived() {
        return bytesReceived;
    }

    /**
     * Returns the frames that were not accepted.
     *
     * @return The number since the start.
     */
    public long badFrames() {
        return badFrames;
    }
}
