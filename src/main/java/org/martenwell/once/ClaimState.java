package org.martenwell.once;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What a ledger knows of a claimed request. */
public enum ClaimState {

    /** A router may be running it, or was when it ended. */
    @JsonProperty("claimed")
    CLAIMED,

    /** It ran, and its answer is kept unless it was too large. */
    @JsonProperty("ran")
    RAN
}
