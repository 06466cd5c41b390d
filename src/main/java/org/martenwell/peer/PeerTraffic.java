package org.martenwell.peer;

import java.util.Map;
import java.util.TreeMap;

/** Counters of messages sent to peers and frames received from them. */
public final class PeerTraffic {

    /** The bytes of messages sent, by the metric label of their type. */
    private final Map<String, Long> bytesByType = new TreeMap<>();

    private long bytesSent;

    private long messagesSent;

    private long bytesReceived;

    private long rejectedFrames;

    /** Creates counters at zero. */
    public PeerTraffic() {}

    /**
     * Counts the overhead of a sent frame.
     *
     * @param bytes The size of the length prefix and the signature.
     */
    void frameOverheadSent(int bytes) {
        bytesSent += bytes;
    }

    /**
     * Counts a sent message.
     *
     * @param type The type of the message.
     * @param bytes The size of the encoded message.
     */
    void messageSent(MessageType type, int bytes) {
        bytesSent += bytes;
        messagesSent++;
        bytesByType.merge(type.metricName(), (long) bytes, Long::sum);
    }

    /**
     * Returns the bytes of messages sent, without the overhead of frames.
     *
     * @return The totals since the start by the metric label of the type.
     */
    public Map<String, Long> bytesByType() {
        return new TreeMap<>(bytesByType);
    }

    /**
     * Counts a received frame.
     *
     * @param bytes The size of the frame, including the signature.
     */
    void frameReceived(int bytes) {
        bytesReceived += bytes;
    }

    /** Counts a frame that was rejected as invalid. */
    void frameRejected() {
        rejectedFrames++;
    }

    /** {@return the total bytes sent, including the overhead of frames} */
    public long bytesSent() {
        return bytesSent;
    }

    /** {@return the total number of messages sent} */
    public long messagesSent() {
        return messagesSent;
    }

    /** {@return the total bytes of frames received} */
    public long bytesReceived() {
        return bytesReceived;
    }

    /** {@return the total number of frames rejected as invalid} */
    public long rejectedFrames() {
        return rejectedFrames;
    }
}
