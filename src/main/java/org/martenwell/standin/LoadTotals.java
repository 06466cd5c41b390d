package org.martenwell.standin;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** What became of one organisation's load. */
public final class LoadTotals {

    /** The largest time recorded, in microseconds. */
    private static final long MAX_MICROS = 3_600_000_000L;

    /** The digits of times that are kept. */
    static final int DIGITS = 3;

    /** The requests sent. */
    private long requests;

    /** The answers that arrived whole. */
    private long complete;

    /** The answers that were not what they had to be. */
    private long wrong;

    /** The tokens that arrived. */
    private long tokens;

    /** The refusals and failures by code. */
    private final Map<String, Long> refusals = new TreeMap<>();

    /** The times to the first token, in microseconds. */
    private final Histogram firstToken = new Histogram(MAX_MICROS, DIGITS);

    /** Creates totals at zero. */
    LoadTotals() {}

    /** Counts a request sent. */
    void sent() {
        requests++;
    }

    /** Counts an answer that arrived whole. */
    void completed() {
        complete++;
    }

    /** Counts an answer that was not what it had to be. */
    void wrong() {
        wrong++;
    }

    /**
     * Counts tokens that arrived.
     *
     * @param count How many.
     */
    void tokens(int count) {
        tokens += count;
    }

    /**
     * Counts a refusal or failure.
     *
     * @param code Its code.
     */
    void refused(String code) {
        refusals.merge(code, 1L, Long::sum);
    }

    /**
     * Records the time to a first token.
     *
     * @param micros The time in microseconds.
     */
    void firstToken(long micros) {
        firstToken.recordValue(Math.min(MAX_MICROS, micros));
    }

    /**
     * Returns the requests sent.
     *
     * @return The number.
     */
    public long requests() {
        return requests;
    }

    /**
     * Returns the answers that arrived whole.
     *
     * @return The number.
     */
    public long complete() {
        return complete;
    }

    /**
     * Returns the answers that were not what they had to be.
     *
     * @return The number.
     */
    public long wrongAnswers() {
        return wrong;
    }

    /**
     * Returns the tokens that arrived.
     *
     * @return The number.
     */
    public long tokens() {
        return tokens;
    }

    /**
     * Returns the refusals and failures.
     *
     * @return The numbers by code.
     */
    public Map<String, Long> refusals() {
        return refusals;
    }

    /**
     * Returns the times to the first token.
     *
     * @return The times in microseconds.
     */
    public Histogram firstTokenMicros() {
        return firstToken;
    }
}
