package org.martenwell.quarantine;

import java.util.HexFormat;
import java.util.Optional;

/**
 * Hashes that identify a request by its content. Repeated submissions of the same request have
 * equal fingerprints, whatever their request ids.
 *
 * @param scope The hash of the method, the route's host, the path with its query and the
 *     organisation.
 * @param content The hash of the scope and the body.
 */
public record Fingerprint(long scope, long content) {

    /** The number of hexadecimal digits of a hash. */
    private static final int HASH_DIGITS = 16;

    private static final HexFormat HEX = HexFormat.of();

    /**
     * Parses the form written by {@link #toString()}.
     *
     * @param text The text to parse.
     * @return The fingerprint, empty if the text isn't 32 hexadecimal digits.
     */
    public static Optional<Fingerprint> parse(String text) {
        if (text.length() != 2 * HASH_DIGITS || !text.chars().allMatch(HexFormat::isHexDigit)) {
            return Optional.empty();
        }
        return Optional.of(
                new Fingerprint(
                        HexFormat.fromHexDigitsToLong(text, 0, HASH_DIGITS),
                        HexFormat.fromHexDigitsToLong(text, HASH_DIGITS, 2 * HASH_DIGITS)));
    }

    /**
     * Returns the fingerprint in hexadecimal.
     *
     * @return The 16 digits of the scope followed by the 16 digits of the content.
     */
    @Override
    public String toString() {
        return HEX.toHexDigits(scope) + HEX.toHexDigits(content);
    }
}
