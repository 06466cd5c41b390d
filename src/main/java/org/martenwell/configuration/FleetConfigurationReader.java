package org.martenwell.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.martenwell.json.DocumentProblems;
import org.martenwell.json.JsonDocuments;
import org.martenwell.json.Problem;
import org.martenwell.json.SchemaChecker;

/** Reads a fleet configuration and checks it whole. */
public enum FleetConfigurationReader {

    /** The only instance. */
    INSTANCE;

    /** Checks the shape of the document. */
    private static final SchemaChecker SCHEMA = SchemaChecker.of("/schema/fleet.schema.json");

    /**
     * Reads a configuration, or throws an exception that lists all its problems.
     *
     * @param file The name of the document.
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
