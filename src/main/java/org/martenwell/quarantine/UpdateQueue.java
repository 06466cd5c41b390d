package org.martenwell.quarantine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * What peers are still to be told. Each word is told several times, so that a report that is lost
 * with its connection does no harm.
 */
final class UpdateQueue {

    /** After how long a word is told again, in milliseconds, the first time at once. */
    private static final long[] TOLD_AFTER_MILLIS = {0, 500, 2_000};

    /** How many words one report may hold, so that a crash of many targets delays no report. */
    private static final int MAX_WORDS = 256;

    /** The words that are due, by how often they were told. */
    private final List<Deque<Due>> due = new ArrayList<>();

    /**
     * A word that is to be told.
     *
     * @param word The word.
     * @param learntMillis When it was learnt, in milliseconds.
     */
    private record Due(QuarantineWord word, long learntMillis) {}

    /** Creates news of which there are none. */
    UpdateQueue() {
        for (int told = 0; told < TOLD_AFTER_MILLIS.length; told++) {
            due.add(new ArrayDeque<>());
        }
    }

    /**
     * Adds a word.
     *
     * @param word The word.
     * @param now The present time, in milliseconds.
     */
    void add(QuarantineWord word, long now) {
        due.get(0).add(new Due(word, now));
    }

    /**
     * Takes the words that are to be told now.
     *
     * @param now The present time, in milliseconds.
     * @return The words, those that were never told first.
     */
    List<QuarantineWord> take(long now) {
        List<QuarantineWord> taken = new ArrayList<>();
        for (int told = 0; told < TOLD_AFTER_MILLIS.length; told++) {
            Deque<Due> words = due.get(told);
            long learntBefore = now - TOLD_AFTER_MILLIS[told];
            while (taken.size() < MAX_WORDS
                    && !words.isEmpty()
                    && words.peek().learntMillis() <= learntBefore) {
                Due each = words.poll();
                taken.add(each.word());
                if (told + 1 < TOLD_AFTER_MILLIS.length) {
                    due.get(told + 1).add(each);
                }
            }
        }
        return taken;
    }
}
