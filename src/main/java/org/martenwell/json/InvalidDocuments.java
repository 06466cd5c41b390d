package org.martenwell.json;

import java.util.List;
import java.util.stream.Collectors;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

/** Turns lists of problems into exceptions. */
public final class InvalidDocuments {

    /** Not instantiated. */
    private InvalidDocuments() {}

    /**
     * Throws an exception that lists all problems, one a line, if there are any.
     *
     * @param problems The problems found.
     */
    public static void throwIfAny(List<Problem> problems) {
        if (!problems.isEmpty()) {
            throw MartenwellException.of(
                    ErrorKind.INVALID_DOCUMENT,
                    problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
        }
    }
}
