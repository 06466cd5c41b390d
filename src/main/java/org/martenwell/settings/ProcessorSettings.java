package org.martenwell.settings;

/**
 * The processor time that a process may use.
 *
 * @param share The part of a processor that it gets.
 * @param speed How much faster than a common one that processor is.
 */
public record ProcessorSettings(double share, double speed) {

    /** A whole processor of common speed, if the settings tell nothing. */
    public static final ProcessorSettings WHOLE = new ProcessorSettings(1, 1);

    /**
     * Returns how much work the process can do.
     *
     * @return The number of whole processors of common speed.
     */
    public double processors() {
        return share * speed;
    }
}
