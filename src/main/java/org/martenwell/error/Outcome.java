package org.martenwell.error;

/** What is known about whether a request ran at a target. */
public enum Outcome {

    /** The request did not run and will not run. */
    NOT_RUN("not-run"),

    /** The request ran. */
    RAN("ran"),

    /** The request may have run. */
    UNKNOWN("unknown");

    /** The word used in headers, bodies and logs. */
    private final String word;

    /**
     * Creates an outcome.
     *
     * @param word The word used in headers, bodies and logs.
     */
    Outcome(String word) {
        this.word = word;
    }

    /**
     * Returns the word used in headers, bodies and logs.
     *
     * @return The word used in headers, bodies and logs.
     */
    public String word() {
        return word;
    }
}
