package org.martenwell.quarantine;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Evidence about one request, and the quarantine state that follows from it. */
final class Suspicion {

    /**
     * The number of crashes needed to quarantine a request. Two may be coincidence: a harmless
     * request that ran beside a harmful one is often retried on the target that crashes next.
     */
    private static final int CRASH_THRESHOLD = 3;

    /**
     * The most crashes that are recorded. Those beyond the threshold show which of several parts of
     * a prompt is harmful.
     */
    private static final int MAX_CRASHES = 8;

    /**
     * The time between the crash that reaches the threshold and the decision, in milliseconds.
     * Allows a frequent, harmless request to complete on another target and the update about it to
     * arrive, which takes 0.1 s in small fleets and 0.6 s in large ones.
     */
    private static final long DECISION_DELAY_MILLIS = 1_000;

    /**
     * The least time between the first and the last crash, in milliseconds. A frequent request runs
     * on many targets; if several of these crash at once for another reason, they count as one.
     */
    private static final long MIN_CRASH_SPREAD_MILLIS = 300;

    /**
     * The time for which crashes are ignored after the request was cleared, in milliseconds. Longer
     * than an update takes between gateways, so that delayed updates have no effect.
     */
    private static final long IGNORE_CRASHES_MILLIS = 10_000;

    /**
     * The time for which peers can't quarantine the request after it was cleared, in milliseconds.
     * Longer than all of them take to read the directory again.
     */
    private static final long IGNORE_HOLDS_MILLIS = 60_000;

    /** The time at which each crash became known, in milliseconds, by incarnation of the target. */
    private final Map<String, Long> crashes = new LinkedHashMap<>();

    /**
     * The incarnations whose crashes were merged into one of {@link #crashes}; peers may report
     * them again.
     */
    private final Set<String> mergedCrashes = new HashSet<>();

    /** The time before which crashes are ignored, in milliseconds. */
    private long ignoreCrashesUntil = Long.MIN_VALUE;

    /** The time before which {@link #quarantine} is ignored, in milliseconds. */
    private long ignoreHoldsUntil = Long.MIN_VALUE;

    /** The time from which an undecided request can be decided, in milliseconds. */
    private long decisionMillis;

    private QuarantineState state = QuarantineState.FREE;

    /** The time of the last change, in milliseconds. */
    private long changedMillis;

    /**
     * Creates a record without evidence.
     *
     * @param now The current time, in milliseconds.
     */
    Suspicion(long now) {
        this.changedMillis = now;
    }

    /**
     * Records the crash of a target that was running the request.
     *
     * @param incarnation The incarnation of the target.
     * @param now The current time, in milliseconds.
     * @return {@code true} if the crash is new and counts.
     */
    boolean recordCrash(String incarnation, long now) {
        if (now < ignoreCrashesUntil
                || crashes.size() >= MAX_CRASHES
                || mergedCrashes.contains(incarnation)
                || crashes.putIfAbsent(incarnation, now) != null) {
            return false;
        }
        changedMillis = now;
        if (crashes.size() >= CRASH_THRESHOLD && state == QuarantineState.FREE) {
            state = QuarantineState.UNDECIDED;
            decisionMillis = now + DECISION_DELAY_MILLIS;
        }
        return true;
    }

    /**
     * Quarantines or frees an undecided request once the decision delay has passed.
     *
     * @param now The current time, in milliseconds.
     */
    void decide(long now) {
        if (!isDue(now)) {
            return;
        }
        long first = crashes.values().stream().mapToLong(Long::longValue).min().orElse(now);
        long last = crashes.values().stream().mapToLong(Long::longValue).max().orElse(now);
        if (last - first >= MIN_CRASH_SPREAD_MILLIS) {
            state = QuarantineState.QUARANTINED;
            changedMillis = now;
        } else {
            state = QuarantineState.FREE;
            mergedCrashes.addAll(crashes.keySet());
            crashes.keySet().retainAll(Set.of(crashes.keySet().iterator().next()));
        }
    }

    /**
     * Returns whether the request is undecided and the decision delay has passed.
     *
     * @param now The current time, in milliseconds.
     * @return {@code true} if the request is to be decided.
     */
    boolean isDue(long now) {
        return state == QuarantineState.UNDECIDED && now >= decisionMillis;
    }

    /**
     * Frees the request, whose crashes have another cause. They still count, so that the next crash
     * makes it undecided again.
     *
     * @param now The current time, in milliseconds.
     */
    void acquit(long now) {
        state = QuarantineState.FREE;
        changedMillis = now;
    }

    /**
     * Discards the evidence, because a target completed the request or an operator released it.
     *
     * @param now The current time, in milliseconds.
     */
    void clear(long now) {
        crashes.clear();
        state = QuarantineState.FREE;
        ignoreCrashesUntil = now + IGNORE_CRASHES_MILLIS;
        ignoreHoldsUntil = now + IGNORE_HOLDS_MILLIS;
        changedMillis = now;
    }

    /** {@return {@code true} if a crash is recorded or the request isn't free} */
    boolean isSuspected() {
        return !crashes.isEmpty() || state != QuarantineState.FREE;
    }

    /**
     * Quarantines the request, unless it was cleared recently.
     *
     * @param incarnations Incarnations of targets that crashed while running it.
     * @param now The current time, in milliseconds.
     */
    void quarantine(Set<String> incarnations, long now) {
        if (now >= ignoreHoldsUntil) {
            incarnations.forEach(each -> crashes.putIfAbsent(each, now));
            state = QuarantineState.QUARANTINED;
            changedMillis = now;
        }
    }

    /**
     * Returns whether another suspect explains all crashes that count against this one.
     *
     * @param other The other suspect.
     * @return {@code true} if there are such crashes and all of them count against the other too.
     */
    boolean isExplainedBy(Suspicion other) {
        return !crashes.isEmpty() && other.crashes.keySet().containsAll(crashes.keySet());
    }

    /**
     * Removes the crashes that this suspect explains, which include those that were merged.
     *
     * @param incarnations The incarnations of targets that crashed under another suspect.
     */
    void removeExplained(Set<String> incarnations) {
        incarnations.removeAll(crashes.keySet());
        incarnations.removeAll(mergedCrashes);
    }

    /** {@return the quarantine state of the request} */
    QuarantineState state() {
        return state;
    }

    /** {@return the incarnations of targets whose crashes count against the request} */
    Set<String> crashedIncarnations() {
        return crashes.keySet();
    }

    /** {@return the time of the last change, in milliseconds} */
    long changedMillis() {
        return changedMillis;
    }
}
