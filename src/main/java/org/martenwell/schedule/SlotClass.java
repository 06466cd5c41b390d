package org.martenwell.schedule;

/** Names the class of a slot: the organisation it was granted to, or any. */
public final class SlotClass {

    /** The class of slots that are lent while nobody waits; no organisation can have this name. */
    public static final String ANY = "*";

    /** Not instantiated. */
    private SlotClass() {}
}
