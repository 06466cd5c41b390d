package org.martenwell.gateway;

import java.util.Optional;

/**
 * The result of the search for the version of a stream that a caller resumes.
 *
 * @param stream The stream, empty if its version can't be known.
 * @param refusal Why it can't be known, empty if it is.
 * @param facts What was known.
 */
record StreamLookup(
        Optional<ResumedStream> stream, Optional<StreamRefusal> refusal, LookupFacts facts) {

    /**
     * Creates the result of a successful search.
     *
     * @param stream The stream.
     * @param facts What was known.
     * @return The result.
     */
    static StreamLookup found(ResumedStream stream, LookupFacts facts) {
        return new StreamLookup(Optional.of(stream), Optional.empty(), facts);
    }

    /**
     * Creates the result of a search that failed.
     *
     * @param refusal The cause.
     * @param facts What was known.
     * @return The result.
     */
    static StreamLookup refused(StreamRefusal refusal, LookupFacts facts) {
        return new StreamLookup(Optional.empty(), Optional.of(refusal), facts);
    }
}
