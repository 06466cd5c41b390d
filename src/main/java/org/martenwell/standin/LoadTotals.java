package org.martenwell.standin;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** The results of the load of one organisation. */
public final class LoadTotals {

    /** The upper bound of recorded times, in microseconds. */
    private static final long MAX_MICROS = 3_600_000_000L;

    /** The number of significant digits of recorded times. */
    static final int DIGITS = 3;

    private long requests;

    private long complete;

    private long wrong;

    private long tokens;

    private final Map<String, Long> refusals = new TreeMap<>();

    private final Histogram firstToken = new Histogram(MAX_MICROS, DIGITS);

    /** Creates totals at zero. */
    LoadTotals() {}

    /** Counts a request sent. */
    void sent() {
        requests++;
    }

    /** Counts a complete and correct response. */
    void completed() {
        complete++;
    }

    /** Counts an incorrect response. */
    void wrong() {
        wrong++;
    }

    /**
     * Counts received tokens.
     *
     * @param count The number of tokens.
     */
    void tokens(int count) {
        tokens += count;
    }

    /**
     * Counts an error response or a failure.
     *
     * @param code The error code.
     */
    void refused(String code) {
        refusals.merge(code, 1L, Long::sum);
    }

    /**
     * Records a time to first token.
     *
     * @param micros The time in microseconds.
     */
    void firstToken(long micros) {
        firstToken.recordValue(Math.min(MAX_MICROS, micros));
    }

    /** {@return the number of requests sent} */
    public long requests() {
        return requests;
    }

    /** {@return the number of complete and correct responses} */
    public long complete() {
        return complete;
    }

    /** {@return the number of incorrect responses} */
    public long wrongAnswers() {
        return wrong;
    }

    /** {@return the number of tokens received} */
    public long tokens() {
        return tokens;
    }

    /** {@return the number of error responses and failures, by code} */
    public Map<String, Long> refusals() {
        return refusals;
    }

    /** {@return the times to first token, in microseconds} */
    public Histogram firstTokenMicros() {
        return firstToken;
    }
}
