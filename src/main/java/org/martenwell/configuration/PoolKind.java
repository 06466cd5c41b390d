package org.martenwell.configuration;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The two kinds of work that targets serve. */
public enum PoolKind {

    /** Requests to a model. */
    @JsonProperty("model")
    MODEL,

    /** Requests to a plain service. */
    @JsonProperty("service")
    SERVICE
}
