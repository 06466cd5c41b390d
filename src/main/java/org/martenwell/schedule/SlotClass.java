package org.martenwell.schedule;

/**
 * Constants for slot classes. The class of a slot is the organisation that it was granted to, or
 * {@link #ANY}.
 */
public final class SlotClass {

    /**
     * The class of lent slots, which any organisation may use. No organisation can have this name.
     */
    public static final String ANY = "*";

    /** Prevents instantiation. */
    private SlotClass() {}
}
