package org.martenwell.once;

import java.util.Optional;
import java.util.UUID;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

/**
 * Idempotency key sent by a caller: a UUID of version 7 (RFC 9562), which contains a timestamp.
 *
 * @param text The UUID in its canonical form.
 * @param millis The timestamp of the UUID, in milliseconds since 1970.
 */
public record IdempotencyKey(String text, long millis) {

    /** Maximum age of a key in milliseconds. Ledgers store claims for twice as long. */
    public static final long WINDOW_MILLIS = 120_000;

    /** UUID version that contains a timestamp. */
    private static final int UUID_VERSION = 7;

    /** Number of bits after the timestamp in the most significant half of the UUID. */
    private static final int TIME_SHIFT = 16;

    /**
     * Parses a key. Throws a {@link MartenwellException} with {@link ErrorKind#MALFORMED_REQUEST}
     * if it is no UUID of version 7, or with {@link ErrorKind#KEY_EXPIRED} if its timestamp differs
     * from the current time by more than {@link #WINDOW_MILLIS}.
     *
     * @param text The key as the caller sent it.
     * @param now The current time in milliseconds since 1970.
     * @return The key.
     */
    public static IdempotencyKey of(String text, long now) {
        UUID uuid =
                parse(text)
                        .filter(each -> each.version() == UUID_VERSION)
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

    private static Optional<UUID> parse(String text) {
        try {
            return Optional.of(UUID.fromString(text));
        } catch (IllegalArgumentException exception) {
            return Optional.empty();
        }
    }
}
