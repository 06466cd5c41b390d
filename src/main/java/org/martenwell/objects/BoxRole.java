package org.martenwell.objects;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Kind of process that runs on a box. */
public enum BoxRole {

    /** A router. */
    @JsonProperty("router")
    ROUTER,

    /** A target. */
    @JsonProperty("target")
    TARGET
}
