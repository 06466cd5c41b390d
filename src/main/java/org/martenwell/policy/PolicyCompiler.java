package org.martenwell.policy;

import com.google.common.collect.ImmutableList;
import dev.cel.common.CelAbstractSyntaxTree;
import dev.cel.common.CelFunctionDecl;
import dev.cel.common.CelOptions;
import dev.cel.common.CelOverloadDecl;
import dev.cel.common.CelValidationException;
import dev.cel.common.types.OpaqueType;
import dev.cel.common.types.SimpleType;
import dev.cel.compiler.CelCompiler;
import dev.cel.compiler.CelCompilerBuilder;
import dev.cel.compiler.CelCompilerFactory;
import dev.cel.parser.CelStandardMacro;
import dev.cel.runtime.CelEvaluationException;
import dev.cel.runtime.CelFunctionBinding;
import dev.cel.runtime.CelRuntime;
import dev.cel.runtime.CelRuntimeFactory;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

/**
 * Compiles policies. A program's cost is bounded by its size: it has no loops, because the only
 * macro is {@code has}, and regular expressions run in time linear in their input.
 */
public enum PolicyCompiler {

    /** The only instance. */
    INSTANCE;

    /** The longest program, in characters. */
    private static final int MAX_CHARACTERS = 4096;

    /** The most nodes of a program's syntax tree. */
    private static final int MAX_NODES = 500;

    /** The deepest nesting of a program. */
    private static final int MAX_DEPTH = 50;

    /** The most instructions of a compiled regular expression. */
    private static final int MAX_EXPRESSION_PROGRAM = 1000;

    /** The type of a program's result. */
    private static final OpaqueType VERDICT = OpaqueType.create("verdict");

    /** Limits on the size of programs. */
    private static final CelOptions OPTIONS =
            CelOptions.current()
                    .maxExpressionCodePointSize(MAX_CHARACTERS)
                    .maxParseExpressionNodeCount(MAX_NODES)
                    .maxParseRecursionDepth(MAX_DEPTH)
                    .maxRegexProgramSize(MAX_EXPRESSION_PROGRAM)
                    .enableHeterogeneousNumericComparisons(true)
                    .build();

    /** Checks programs. */
    private static final CelCompiler COMPILER = createCompiler();

    /** Plans programs. */
    private static final CelRuntime RUNTIME =
            CelRuntimeFactory.plannerRuntimeBuilder()
                    .setOptions(OPTIONS)
                    .addFunctionBindings(
                            CelFunctionBinding.from("allow_int", Long.class, Verdict::allow),
                            CelFunctionBinding.from("refuse_string", String.class, Verdict::refuse))
                    .build();

    /**
     * Creates the checker of programs.
     *
     * @return The checker.
     */
    private static CelCompiler createCompiler() {
        CelCompilerBuilder builder =
                CelCompilerFactory.standardCelCompilerBuilder()
                        .setOptions(OPTIONS)
                        .setStandardMacros(CelStandardMacro.HAS)
                        .setResultType(VERDICT)
                        .addFunctionDeclarations(
                                CelFunctionDecl.newFunctionDeclaration(
                                        "allow",
                                        CelOverloadDecl.newGlobalOverload(
                                                "allow_int",
                                                VERDICT,
                                                ImmutableList.of(SimpleType.INT))),
                                CelFunctionDecl.newFunctionDeclaration(
                                        "refuse",
                                        CelOverloadDecl.newGlobalOverload(
                                                "refuse_string",
                                                VERDICT,
                                                ImmutableList.of(SimpleType.STRING))));
        for (PolicyVariable variable : PolicyVariable.values()) {
            builder.addVar(variable.variable(), variable.type());
        }
        return builder.build();
    }

    /**
     * Compiles a program, or throws an exception that tells what is wrong with it.
     *
     * @param program The program in CEL.
     * @return The compiled program.
     */
    public PolicyProgram compile(String program) {
        try {
            CelAbstractSyntaxTree tree = COMPILER.compile(program).getAst();
            CelRuntime.Program planned = RUNTIME.createProgram(tree);
            return input -> run(planned, input);
        } catch (CelValidationException | CelEvaluationException exception) {
            throw MartenwellException.of(
                    ErrorKind.INVALID_DOCUMENT, exception.getMessage(), exception);
        }
    }

    /**
     * Runs a program.
     *
     * @param program The planned program.
     * @param input What the policy may look at.
     * @return The verdict.
     */
    private static Verdict run(CelRuntime.Program program, PolicyInput input) {
        try {
            return (Verdict) program.eval(input.variables());
        } catch (CelEvaluationException | RuntimeException exception) {
            throw MartenwellException.of(
                    ErrorKind.POLICY_FAILED, "The policy failed while it ran.", exception);
        }
    }
}
