package org.martenwell.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

/** Checks a document against a JSON Schema of this program's resources. */
public final class SchemaChecker {

    /** The compiled schema. */
    private final Schema schema;

    /**
     * Creates a checker.
     *
     * @param schema The compiled schema.
     */
    private SchemaChecker(Schema schema) {
        this.schema = schema;
    }

    /**
     * Loads a schema from this program's resources.
     *
     * @param resource The absolute name of the resource.
     * @return The checker.
     */
    public static SchemaChecker of(String resource) {
        try (InputStream stream = SchemaChecker.class.getResourceAsStream(resource)) {
            String text = new String(stream.readAllBytes(), StandardCharsets.UTF_8);
            return new SchemaChecker(
                    SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                            .getSchema(text));
        } catch (IOException exception) {
            throw MartenwellException.of(
                    ErrorKind.INTERNAL, "Resource " + resource + " is not readable.", exception);
        }
    }

    /**
     * Checks a document.
     *
     * @param file The name of the document.
     * @param root The root of the document.
     * @return All problems found.
     */
    public List<Problem> check(String file, JsonNode root) {
        List<Problem> problems = new ArrayList<>();
        for (Error error : schema.validate(root)) {
            problems.add(problem(file, error));
        }
        return problems;
    }

    /**
     * Turns a schema error into a problem.
     *
     * @param file The name of the document.
     * @param error The schema error.
     * @return The problem.
     */
    private static Problem problem(String file, Error error) {
        JsonNode allowed = error.getSchemaNode();
        return new Problem(
                file,
                String.valueOf(error.getInstanceLocation()),
                error.getMessage(),
                error.getKeyword() + " " + (allowed == null ? "" : allowed));
    }
}
