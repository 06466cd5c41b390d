package org.martenwell.once;

/**
 * An answer that is kept for repeats of its request.
 *
 * @param status The HTTP status.
 * @param contentType The content type or an empty string.
 * @param body The body in Base64.
 */
public record StoredResponse(int status, String contentType, String body) {

    /** The largest body that is kept, in characters of its Base64 form. */
    public static final int MAX_CHARACTERS = 2_048;

    /**
     * Returns whether this answer is small enough to be kept.
     *
     * @return {@code true} if it is.
     */
    public boolean fits() {
        return body.length() <= MAX_CHARACTERS;
    }
}
