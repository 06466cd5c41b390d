package org.martenwell.gateway;

/**
 * The part of a target's life that began with its last known crash. An attempt belongs to the one
 * in which its request was written, so a crash concerns the attempts in progress and no later one,
 * though the target may be back at its address under the same directory entry.
 *
 * @param target The target.
 * @param observed The number of crashes before that immediate sources have shown.
 * @param reported The number of crashes before that other sources have shown.
 */
record TargetRun(KnownTarget target, int observed, int reported) {

    /**
     * Returns the run in which a target is now.
     *
     * @param target The target.
     * @return The run.
     */
    static TargetRun current(KnownTarget target) {
        return new TargetRun(target, target.crashes().observed(), target.crashes().reported());
    }

    /** {@return {@code true} if an immediate source has shown a crash since the run began} */
    boolean crashed() {
        return target.crashes().observed() != observed;
    }

    /**
     * Returns whether the target may have crashed since the run began. A crash that became known
     * late may have preceded the run.
     *
     * @return {@code true} if any crash became known since.
     */
    boolean mayHaveCrashed() {
        return crashed() || target.crashes().reported() != reported;
    }
}
