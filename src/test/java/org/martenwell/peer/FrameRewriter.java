package org.martenwell.peer;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.function.Function;
import org.martenwell.message.PeerMessage;

/**
 * Changes the messages of one connection between two gateways whose key is known. The frames that
 * it returns are signed like those of the sender, so that the receiver accepts them.
 */
public final class FrameRewriter {

    /** The size of the nonce that the receiver sends first, in bytes. */
    public static final int NONCE_BYTES = FrameCodec.NONCE_BYTES;

    private final FrameCodec received;

    private final FrameCodec sent;

    private final MessageReader reader = new MessageReader();

    private final MessageWriter writer = new MessageWriter();

    private final Function<PeerMessage, List<PeerMessage>> change;

    /**
     * Creates a rewriter for a new connection.
     *
     * @param key The secret shared by all peers.
     * @param nonce The connection's nonce.
     * @param change Returns what is sent instead of a message.
     */
    public FrameRewriter(
            String key, byte[] nonce, Function<PeerMessage, List<PeerMessage>> change) {
        this.received = new FrameCodec(key, nonce);
        this.sent = new FrameCodec(key, nonce);
        this.change = change;
    }

    /**
     * Changes the messages of the next frame.
     *
     * @param frame The frame, without its length.
     * @return The frame to send instead, without its length.
     */
    public byte[] rewrite(byte[] frame) {
        ByteArrayOutputStream payload = new ByteArrayOutputStream();
        for (PeerMessage each : reader.read(received.verify(frame))) {
            change.apply(each).forEach(message -> payload.writeBytes(writer.write(message)));
        }
        return sent.sign(payload.toByteArray());
    }
}
