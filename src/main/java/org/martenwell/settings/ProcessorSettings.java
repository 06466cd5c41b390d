package org.martenwell.settings;

/**
 * The processor time that a process may use.
 *
 * @param share The number of processors, which may be a fraction.
 * @param speed The speed of a processor relative to the reference processor, whose speed is 1.
 */
public record ProcessorSettings(double share, double speed) {

    /** One processor of the reference speed, assumed if the settings don't state it. */
    public static final ProcessorSettings WHOLE = new ProcessorSettings(1, 1);

    /** {@return the capacity of the process, in processors of the reference speed} */
    public double processors() {
        return share * speed;
    }
}
