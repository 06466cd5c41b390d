package org.martenwell.policy;

/** A compiled policy. */
@FunctionalInterface
public interface PolicyProgram {

    /**
     * Decides about a request. A program that fails throws an exception of the kind {@link
     * org.martenwell.error.ErrorKind#POLICY_FAILED}.
     *
     * @param input What the policy may look at.
     * @return The verdict.
     */
    Verdict decide(PolicyInput input);
}
