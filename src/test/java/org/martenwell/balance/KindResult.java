package org.martenwell.balance;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** The numbers of simulated requests by their outcome. */
final class KindResult {

    private int total;

    private int inTime;

    private int late;

    private int lateBehindLong;

    private int refused;

    private int rejected;

    private int paused;

    private int waits;

    private int waitsBesideIdle;

    private final List<Answer> answers = new ArrayList<>();

    /**
     * A request whose first event arrived.
     *
     * @param millis The time from the arrival of the request, in milliseconds.
     * @param prefillTokens The tokens of its prompt that needed prefill.
     * @param tokensAhead The tokens of other prompts ahead of it at its engine.
     */
    record Answer(double millis, long prefillTokens, long tokensAhead) {}

    void arrived() {
        total++;
    }

    void answered(
            double millis,
            boolean timely,
            long prefillTokens,
            long tokensAhead,
            boolean behindLong) {
        if (timely) {
            inTime++;
        } else {
            late++;
            lateBehindLong += behindLong ? 1 : 0;
        }
        answers.add(new Answer(millis, prefillTokens, tokensAhead));
    }

    void refused() {
        refused++;
    }

    void rejected() {
        rejected++;
    }

    /** Records a request with an interval between events above the permitted one. */
    void paused() {
        paused++;
    }

    /** Records a decision to wait, and whether an engine was idle at that time. */
    void placementFailed(boolean besideIdle) {
        waits++;
        waitsBesideIdle += besideIdle ? 1 : 0;
    }

    void add(KindResult other) {
        total += other.total;
        inTime += other.inTime;
        late += other.late;
        lateBehindLong += other.lateBehindLong;
        refused += other.refused;
        rejected += other.rejected;
        paused += other.paused;
        waits += other.waits;
        waitsBesideIdle += other.waitsBesideIdle;
        answers.addAll(other.answers);
    }

    int total() {
        return total;
    }

    /** Returns the number of requests that were late or refused. */
    int missed() {
        return total - inTime;
    }

    int late() {
        return late;
    }

    /** Returns the number of late requests that were sent behind the prefill of a long prompt. */
    int lateBehindLong() {
        return lateBehindLong;
    }

    int refusedCount() {
        return refused;
    }

    int pausedCount() {
        return paused;
    }

    int waits() {
        return waits;
    }

    int waitsBesideIdle() {
        return waitsBesideIdle;
    }

    double inTimeShare() {
        return (double) inTime / total;
    }

    double rejectedShare() {
        return (double) rejected / Math.max(1, total);
    }

    List<Answer> answers() {
        return answers;
    }

    /** Returns a quantile of the times to the first event, in milliseconds. */
    double quantile(double part) {
        return quantile(answers.stream().mapToDouble(Answer::millis).toArray(), part);
    }

    static double quantile(double[] values, double part) {
        Arrays.sort(values);
        return values.length == 0 ? 0 : values[(int) (part * (values.length - 1))];
    }
}
