package org.martenwell.quarantine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The prompt parts on which targets lately answered without crashing. A harmful part crashes each
 * target that begins to answer on it, so these are not harmful.
 */
final class SoundParts {

    /** The time for which an answer shows that a part is sound, in milliseconds. */
    private static final long SOUND_MILLIS = 10_000;

    /** The most parts that are tracked; each takes about 120 bytes. */
    private static final int MAX_PARTS = 4_096;

    /** The times of the last answers by part, the oldest first, in milliseconds. */
    private final Map<Fingerprint, Long> answeredMillis = new LinkedHashMap<>();

    /** Creates an instance without parts. */
    SoundParts() {}

    /**
     * Records that a target answered on a part without crashing.
     *
     * @param part The part.
     * @param now The current time, in milliseconds.
     */
    void add(Fingerprint part, long now) {
        answeredMillis.remove(part);
        answeredMillis.put(part, now);
        if (answeredMillis.size() > MAX_PARTS) {
            Iterator<Fingerprint> oldest = answeredMillis.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /**
     * Returns whether a part is sound.
     *
     * @param part The part.
     * @param now The current time, in milliseconds.
     * @return {@code true} if an answer on it is recorded and recent.
     */
    boolean contains(Fingerprint part, long now) {
        Long answered = answeredMillis.get(part);
        return answered != null && now - answered < SOUND_MILLIS;
    }
}
