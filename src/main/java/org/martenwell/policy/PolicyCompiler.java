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
 * Compiles CEL expressions to policies. The size of an expression bounds the cost of its
 * evaluation: {@code has} is the only macro, so there are no comprehensions, and regular
 * expressions are matched in time linear in their input.
 */
public enum PolicyCompiler {

    /** The only instance. */
    INSTANCE;

    /** The greatest length of an expression, in code points. */
    private static final int MAX_CODE_POINTS = 4096;

    /** The most nodes of the syntax tree. */
    private static final int MAX_NODES = 500;

    /** The greatest depth of nesting. */
    private static final int MAX_DEPTH = 50;

    /** The greatest size of a compiled regular expression, in RE2 instructions. */
    private static final int MAX_REGEX_INSTRUCTIONS = 1000;

    /** The result type of an expression. */
    private static final OpaqueType VERDICT = OpaqueType.create("verdict");

    /** Limits shared by the compiler and the runtime. */
    private static final CelOptions OPTIONS =
            CelOptions.current()
                    .maxExpressionCodePointSize(MAX_CODE_POINTS)
                    .maxParseExpressionNodeCount(MAX_NODES)
                    .maxParseRecursionDepth(MAX_DEPTH)
                    .maxRegexProgramSize(MAX_REGEX_INSTRUCTIONS)
                    .enableHeterogeneousNumericComparisons(true)
                    .build();

    /** Parses and type-checks expressions. */
    private static final CelCompiler COMPILER = createCompiler();

    /** Plans the evaluation of checked expressions. */
    private static final CelRuntime RUNTIME =
            CelRuntimeFactory.plannerRuntimeBuilder()
                    .setOptions(OPTIONS)
                    .addFunctionBindings(
                            CelFunctionBinding.from("allow_int", Long.class, Verdict::allow),
                            CelFunctionBinding.from("refuse_string", String.class, Verdict::refuse))
                    .build();

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
            builder.addVar(variable.variableName(), variable.type());
        }
        return builder.build();
    }

    /**
     * Compiles an expression. Throws an exception of the kind {@link ErrorKind#INVALID_DOCUMENT}
     * with the compiler's message if the expression is invalid or too large.
     *
     * @param expression The CEL expression.
     * @return The compiled policy.
     */
    public PolicyProgram compile(String expression) {
        try {
            CelAbstractSyntaxTree tree = COMPILER.compile(expression).getAst();
            CelRuntime.Program program = RUNTIME.createProgram(tree);
            return input -> evaluate(program, input);
        } catch (CelValidationException | CelEvaluationException exception) {
            throw MartenwellException.of(
                    ErrorKind.INVALID_DOCUMENT, exception.getMessage(), exception);
        }
    }

    private static Verdict evaluate(CelRuntime.Program program, PolicyInput input) {
        try {
            return (Verdict) program.eval(input.variables());
        } catch (CelEvaluationException | RuntimeException exception) {
            throw MartenwellException.of(
                    ErrorKind.POLICY_FAILED, "The evaluation of the policy failed.", exception);
        }
    }
}
