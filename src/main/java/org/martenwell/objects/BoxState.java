package org.martenwell.objects;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What the box list says of a box. */
public enum BoxState {

    /** The box works. */
    @JsonProperty("live")
    LIVE,

    /** The box is about to go. */
    @JsonProperty("leaving")
    LEAVING
}
