package org.martenwell.quarantine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The prompt parts that targets served recently without crashing. A harmful part crashes each
 * target that starts a response to it, so these are harmless.
 */
final class HarmlessParts {

    /** The time for which a response shows that a part is harmless, in milliseconds. */
    private static final long HARMLESS_MILLIS = 10_000;

    /** The most parts that are tracked. */
    private static final int MAX_PARTS = 4_096;

    /** The times of the last responses by part, the oldest first, in milliseconds. */
    private final Map<Fingerprint, Long> servedMillis = new LinkedHashMap<>();

    /** Creates an instance without parts. */
    HarmlessParts() {}

    /**
     * Records that a target served a part without crashing.
     *
     * @param part The part.
     * @param now The current time, in milliseconds.
     */
    void add(Fingerprint part, long now) {
        servedMillis.remove(part);
        servedMillis.put(part, now);
        if (servedMillis.size() > MAX_PARTS) {
            Iterator<Fingerprint> oldest = servedMillis.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /**
     * Returns whether a part is harmless.
     *
     * @param part The part.
     * @param now The current time, in milliseconds.
     * @return {@code true} if a recent response to it is recorded.
     */
    boolean contains(Fingerprint part, long now) {
        Long served = servedMillis.get(part);
        return served != null && now - served < HARMLESS_MILLIS;
    }
}
