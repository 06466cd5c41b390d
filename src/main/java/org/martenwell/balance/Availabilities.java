package org.martenwell.balance;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What targets have said of themselves, by life. It is remembered beyond a target's entry in the
 * directory, which may go while the target serves on and may come back as it was before.
 */
public final class Availabilities {

    /** Of how many lives it is remembered: twenty times the targets of the largest fleet. */
    private static final int MAX_LIVES = 2_048;

    /** The availabilities by life, the longest not asked for first. */
    private final Map<String, Availability> lives = new LinkedHashMap<>(16, 0.75f, true);

    /** Creates a memory that knows no target. */
    public Availabilities() {}

    /**
     * Returns what a target has said of itself.
     *
     * @param life The target's life.
     * @return What it has said, the same object for each call.
     */
    public Availability of(String life) {
        Availability known = lives.computeIfAbsent(life, unknown -> new Availability());
        if (lives.size() > MAX_LIVES) {
            lives.remove(lives.keySet().iterator().next());
        }
        return known;
    }
}
