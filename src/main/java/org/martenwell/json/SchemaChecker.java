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

/** Validates documents against a JSON Schema from the class path. */
public final class SchemaChecker {

    private final Schema schema;

    private SchemaChecker(Schema schema) {
        this.schema = schema;
    }

    /**
     * Loads a schema from the class path.
     *
     * @param resource The absolute resource name.
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
                    ErrorKind.INTERNAL, "Cannot read resource " + resource + ".", exception);
        }
    }

    /**
     * Validates a document.
     *
     * @param file The name of the document for error messages.
     * @param root The root node of the document.
     * @return The problems found, empty if the document is valid.
     */
    public List<Problem> check(String file, JsonNode root) {
        List<Problem> problems = new ArrayList<>();
        for (Error error : schema.validate(root)) {
            problems.add(problem(file, error));
        }
        return problems;
    }

    private static Problem problem(String file, Error error) {
        JsonNode allowed = error.getSchemaNode();
        return new Problem(
                file,
                String.valueOf(error.getInstanceLocation()),
                error.getMessage(),
                error.getKeyword() + " " + (allowed == null ? "" : allowed));
    }
}
