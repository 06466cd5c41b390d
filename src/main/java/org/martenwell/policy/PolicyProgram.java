package org.martenwell.policy;

/** Policy compiled from a CEL expression by {@link PolicyCompiler}. */
@FunctionalInterface
public interface PolicyProgram {

    /**
     * Evaluates the policy for a request. Throws an exception of the kind {@link
     * org.martenwell.error.ErrorKind#POLICY_FAILED} if the evaluation fails.
     *
     * @param input The properties of the request.
     * @return The decision.
     */
    Verdict decide(PolicyInput input);
}
