package org.martenwell.once;

import com.fasterxml.jackson.annotation.JsonProperty;

/** State of a claimed request. */
public enum ClaimState {

    /** The request may be running, or was interrupted when its router failed. */
    @JsonProperty("claimed")
    CLAIMED,

    /** The request ran. Its response is stored unless it was too large. */
    @JsonProperty("ran")
    RAN
}
