package org.martenwell.directory;

/** How fresh a list of objects must be. */
public enum Freshness {

    /** As the objects stand now. */
    CURRENT,

    /** As they stood some seconds ago at worst, which costs the store far less. */
    STALE
}
