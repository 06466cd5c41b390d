package org.martenwell.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.martenwell.json.DocumentProblems;
import org.martenwell.json.JsonDocuments;
import org.martenwell.json.Problem;
import org.martenwell.json.SchemaChecker;

/** Reads a fleet configuration and checks its schema, references and policies. */
public enum FleetConfigurationReader {

    /** The only instance. */
    INSTANCE;

    private static final SchemaChecker SCHEMA = SchemaChecker.of("/schema/fleet.schema.json");

    /**
     * Reads a configuration. If it is not valid, throws an exception that lists all problems of its
     * schema or, if it matches the schema, of its references and policies.
     *
     * @param file The name of the document, for messages.
     * @param text The document, JSON with comments.
     * @return The configuration.
     */
    public FleetConfiguration read(String file, String text) {
        JsonNode root = JsonDocuments.parse(file, text);
        List<Problem> problems = new ArrayList<>(SCHEMA.check(file, root));
        DocumentProblems.throwIfAny(problems);
        FleetConfiguration configuration = JsonDocuments.map(root, FleetConfiguration.class);
        problems.addAll(ReferenceChecker.of(file, configuration).problems());
        problems.addAll(PolicyChecker.INSTANCE.check(file, configuration));
        DocumentProblems.throwIfAny(problems);
        return configuration;
    }
}
