package org.martenwell.peer;

/** Counts what is sent to peers and received from them. */
public final class PeerTraffic {

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
     * Counts a frame sent.
     *
     * @param bytes Its size.
     */
    void sent(int bytes) {
        bytesSent += bytes;
        messagesSent++;
    }

    /**
     * Counts a frame received.
     *
     * @param bytes Its size.
     */
    void received(int bytes) {
        bytesReceived += bytes;
    }

    /** Counts a frame that was not accepted. */
    void refused() {
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
