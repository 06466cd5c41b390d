package org.martenwell.configuration;

import java.util.ArrayList;
import java.util.List;
import org.martenwell.error.MartenwellException;
import org.martenwell.json.Problem;
import org.martenwell.policy.PolicyCompiler;

/** Checks that every policy of a configuration compiles within the size limits. */
public enum PolicyChecker {

    /** The only instance. */
    INSTANCE;

    /**
     * Compiles all policies of a configuration.
     *
     * @param file The name of the document, for messages.
     * @param configuration The configuration.
     * @return A problem for each policy that doesn't compile.
     */
    public List<Problem> check(String file, FleetConfiguration configuration) {
        List<Problem> problems = new ArrayList<>();
        List<Policy> policies = configuration.policies();
        for (int index = 0; index < policies.size(); index++) {
            try {
                PolicyCompiler.INSTANCE.compile(policies.get(index).program());
            } catch (MartenwellException exception) {
                problems.add(
                        new Problem(
                                file,
                                "/policies/" + index + "/program",
                                exception.getMessage(),
                                "a CEL program of type verdict, see docs/operators/policies.md"));
            }
        }
        return problems;
    }
}
