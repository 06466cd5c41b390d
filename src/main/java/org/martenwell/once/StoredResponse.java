package org.martenwell.once;

/**
 * Response stored in a ledger for repeated requests.
 *
 * @param status The HTTP status.
 * @param contentType The content type, or an empty string.
 * @param body The body in Base64.
 */
public record StoredResponse(int status, String contentType, String body) {

    /** Maximum length of a stored body, in Base64 characters. */
    public static final int MAX_BODY_CHARACTERS = 2_048;

    /** {@return {@code true} if the response is small enough to be stored} */
    public boolean fits() {
        return body.length() <= MAX_BODY_CHARACTERS;
    }
}
