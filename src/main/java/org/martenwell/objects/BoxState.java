package org.martenwell.objects;

import com.fasterxml.jackson.annotation.JsonProperty;

/** State of a box in the platform's list. */
public enum BoxState {

    /** In operation. */
    @JsonProperty("live")
    LIVE,

    /** About to be removed. */
    @JsonProperty("leaving")
    LEAVING
}
