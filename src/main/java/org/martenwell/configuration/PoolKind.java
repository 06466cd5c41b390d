package org.martenwell.configuration;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The kind of requests that a target serves. */
public enum PoolKind {

    /** Requests to a model. */
    @JsonProperty("model")
    MODEL,

    /** Requests to a plain service. */
    @JsonProperty("service")
    SERVICE
}
