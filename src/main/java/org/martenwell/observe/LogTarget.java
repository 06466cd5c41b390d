package org.martenwell.observe;

import java.io.PrintStream;

/** Output of the log lines of a process. */
public enum LogTarget {

    /** Standard output, for server processes. */
    SYSTEM_OUT {
        @Override
        PrintStream stream() {
            return System.out;
        }
    },

    /** Standard error, for commands that print their results to standard output. */
    SYSTEM_ERR {
        @Override
        PrintStream stream() {
            return System.err;
        }
    };

    /**
     * Returns the stream of this output.
     *
     * @return The stream that {@link System} has at the time of the call.
     */
    abstract PrintStream stream();
}
