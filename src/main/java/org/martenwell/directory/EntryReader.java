package org.martenwell.directory;

import com.fasterxml.jackson.databind.JsonNode;
import org.martenwell.route.GatewayConfiguration;

/**
 * Maps the objects of a deployment's store to the gateway's types. Names the kinds of objects that
 * the gateway reads and writes.
 */
public interface EntryReader {

    /** {@return the kind of configuration objects} */
    String configurationKind();

    /** {@return the name of the active configuration object} */
    String configurationName();

    /** {@return the kind of target objects} */
    String targetKind();

    /**
     * {@return the kind of evacuation objects, each of which is named after an evacuated failure
     * domain}
     */
    String evacuationKind();

    /** {@return the kind of gateway objects, which gateways write themselves} */
    String gatewayKind();

    /** {@return the kind of quarantined-request objects, which gateways write themselves} */
    String quarantinedRequestKind();

    /** {@return the kind of records of versions, which gateways write themselves} */
    String versionKind();

    /** {@return the kind of objects with origins of streams, which gateways write themselves} */
    String originKind();

    /**
     * Parses a configuration.
     *
     * @param value The object's value.
     * @return The configuration.
     * @throws RuntimeException If the value is not a valid configuration.
     */
    GatewayConfiguration configuration(JsonNode value);

    /**
     * Parses a target.
     *
     * @param id The target's id, which is the object's name.
     * @param value The object's value.
     * @return The target.
     * @throws org.martenwell.error.MartenwellException If a field is missing, has the wrong type or
     *     has an unknown value.
     */
    DirectoryTarget target(String id, JsonNode value);
}
