package org.martenwell.peer;

import java.nio.ByteBuffer;
import java.util.List;

/**
 * A part of the response to an offloaded request.
 *
 * @param id The number of the request.
 * @param kind The kind.
 * @param value The status of a head or of a whole response, the number of targets that a request
 *     has been sent to, 1 for a request that is handed back and whose next attempt the sender took
 *     from its retry budget, else 0.
 * @param headers The headers of a head or of a whole response without those that frame the body,
 *     else empty.
 * @param body The bytes of a whole response's body or of a piece, read-only, else empty.
 */
public record ResponsePart(
        long id, ResponsePartKind kind, int value, List<HeaderField> headers, ByteBuffer body) {

    private static final ByteBuffer NO_BYTES = ByteBuffer.allocate(0).asReadOnlyBuffer();

    /**
     * Creates a part with neither headers nor bytes.
     *
     * @param id The number of the request.
     * @param kind The kind.
     * @return The part.
     */
    public static ResponsePart of(long id, ResponsePartKind kind) {
        return of(id, kind, 0);
    }

    /**
     * Creates a part with a number.
     *
     * @param id The number of the request.
     * @param kind The kind.
     * @param value The number.
     * @return The part.
     */
    public static ResponsePart of(long id, ResponsePartKind kind, int value) {
        return new ResponsePart(id, kind, value, List.of(), NO_BYTES);
    }

    /**
     * Creates a head.
     *
     * @param id The number of the request.
     * @param kind The kind of the head.
     * @param status The status code.
     * @param headers The headers.
     * @return The part.
     */
    public static ResponsePart head(
            long id, ResponsePartKind kind, int status, List<HeaderField> headers) {
        return new ResponsePart(id, kind, status, headers, NO_BYTES);
    }

    /**
     * Creates a piece of a body.
     *
     * @param id The number of the request.
     * @param bytes The bytes, read-only.
     * @return The part.
     */
    public static ResponsePart body(long id, ByteBuffer bytes) {
        return new ResponsePart(id, ResponsePartKind.BODY, 0, List.of(), bytes);
    }

    /** {@return the number of bytes of the body in this part} */
    public int bodyBytes() {
        return body.remaining();
    }
}
