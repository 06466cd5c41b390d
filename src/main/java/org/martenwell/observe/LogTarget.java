package org.martenwell.observe;

import java.io.PrintStream;

/** Where the lines of a process go. */
public enum LogTarget {

    /** The standard output, for processes that serve. */
    SYSTEM_OUT {
        @Override
        PrintStream stream() {
            return System.out;
        }
    },

    /** The standard error output, for commands that print their results. */
    SYSTEM_ERR {
        @Override
        PrintStream stream() {
            return System.err;
        }
    };

    /**
     * Returns the stream that takes the lines.
     *
     * @return The stream as it is set now.
     */
    abstract PrintStream stream();
}
