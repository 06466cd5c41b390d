package org.martenwell.settings;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Arrays;
import java.util.Optional;

/** Optional behaviour of a gateway, enabled by its settings. */
public enum GatewayFeature {

    /** Passes requests to peers while the box lacks processor time. */
    OFFLOAD("offload"),

    /** Prefers engines to which a connection is open. */
    REUSE_CONNECTIONS("reuseConnections"),

    /** Estimates the speed of each engine instead of one for all engines of a service. */
    TARGET_SPEEDS("targetSpeeds"),

    /** Places long prompts where they delay few other requests. */
    SEPARATE_LONG_PROMPTS("separateLongPrompts"),

    /**
     * Counts the unreported requests of peers at engines, and corrects forecasts by their errors.
     */
    LOAD_FORECAST("loadForecast"),

    /** Lets requests wait for an engine as long as they can still be served in time. */
    WAIT_FORECAST("waitForecast");

    private final String label;

    GatewayFeature(String label) {
        this.label = label;
    }

    /** {@return the name in settings} */
    @JsonValue
    public String label() {
        return label;
    }

    /**
     * Returns the feature with a name.
     *
     * @param label The name in settings.
     * @return The feature, or empty if there is none.
     */
    static Optional<GatewayFeature> of(String label) {
        return Arrays.stream(values()).filter(each -> each.label.equals(label)).findFirst();
    }
}
