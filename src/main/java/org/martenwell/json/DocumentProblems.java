package org.martenwell.json;

import java.util.List;
import java.util.stream.Collectors;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

/** Reports all problems of a document in one exception. */
public final class DocumentProblems {

    private DocumentProblems() {}

    /**
     * Throws {@link ErrorKind#INVALID_DOCUMENT} with all problems, one per line, unless the list is
     * empty.
     *
     * @param problems The problems, may be empty.
     */
    public static void throwIfAny(List<Problem> problems) {
        if (!problems.isEmpty()) {
            throw MartenwellException.of(
                    ErrorKind.INVALID_DOCUMENT,
                    problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
        }
    }
}
