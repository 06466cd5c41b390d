package org.martenwell.once;

import java.util.Optional;
import java.util.UUID;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

/**
 * A caller's idempotency key, a UUID of version 7 (RFC 9562), whose time tells how old it is.
 *
 * @param text The key in its usual form.
 * @param millis When it was made, in milliseconds since 1970.
 */
public record IdempotencyKey(String text, long millis) {

    /** How old a key may be, in milliseconds. Ledgers keep claims for twice as long. */
    public static final long WINDOW_MILLIS = 120_000;

    /** The version of UUIDs that carry a time. */
    private static final int VERSION = 7;

    /** The bits behind the time in the first half of a UUID. */
    private static final int TIME_SHIFT = 16;

    /**
     * Reads a key, or throws an exception if it is none or out of the window.
     *
     * @param text The key.
     * @param now The time.
     * @return The key.
     */
    public static IdempotencyKey of(String text, long now) {
        UUID uuid =
                parse(text)
                        .filter(each -> each.version() == VERSION)
                        .orElseThrow(
                                () ->
                                        MartenwellException.of(
                                                ErrorKind.MALFORMED_REQUEST,
                                                "An Idempotency-Key must be a UUID of version 7."));
        long millis = uuid.getMostSignificantBits() >>> TIME_SHIFT;
        if (Math.abs(now - millis) > WINDOW_MILLIS) {
            throw MartenwellException.of(
                    ErrorKind.KEY_EXPIRED,
                    "The Idempotency-Key is too old to tell whether its request ran.");
        }
        return new IdempotencyKey(uuid.toString(), millis);
    }

    /**
     * Parses a UUID.
     *
     * @param text The text.
     * @return The UUID.
     */
    private static Optional<UUID> parse(String text) {
        try {
            return Optional.of(UUID.fromString(text));
        } catch (IllegalArgumentException exception) {
            return Optional.empty();
        }
    }
}
