package org.martenwell.error;

/** The execution state of a request at its target, as far as it is known. */
public enum Outcome {

    /** The request did not run and will not run later. */
    NOT_RUN("not-run"),

    /** The request ran. */
    RAN("ran"),

    /** The request may have run. */
    UNKNOWN("unknown");

    private final String word;

    /**
     * Creates an outcome.
     *
     * @param word The value used in headers, bodies and logs.
     */
    Outcome(String word) {
        this.word = word;
    }

    /** {@return the value used in headers, bodies and logs} */
    public String word() {
        return word;
    }
}
