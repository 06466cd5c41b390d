package org.martenwell.directory;

/** Consistency required of a listing. */
public enum Freshness {

    /** Reflects all writes completed before the call. */
    CURRENT,

    /** May be some seconds old, which is far cheaper for the store. */
    STALE
}
