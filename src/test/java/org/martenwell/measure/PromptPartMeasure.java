package org.martenwell.measure;

import org.martenwell.quarantine.Fingerprint;
import org.martenwell.quarantine.FingerprintFunction;
import org.martenwell.quarantine.Quarantine;

/**
 * Measures what an answer on a prompt costs the quarantine, by the number of its shared parts. Run
 * with the JVM options of the deployment, which disable the C2 compiler.
 */
public final class PromptPartMeasure {

    private static final int[] PARTS = {1, 2, 4, 8};

    private static final int REQUESTS = 200_000;

    /** More distinct parts than are tracked. */
    private static final int DISTINCT = 10_000;

    private static final double NANOS_PER_MICRO = 1_000;

    private PromptPartMeasure() {}

    /**
     * Prints the time per answer for each number of parts.
     *
     * @param arguments Not used.
     */
    public static void main(String[] arguments) {
        for (int parts : PARTS) {
            run(parts);
            long start = System.nanoTime();
            int tracked = run(parts);
            double micros = (System.nanoTime() - start) / NANOS_PER_MICRO / REQUESTS;
            System.out.printf("%d parts: %.2f us an answer (%d)%n", parts, micros, tracked);
        }
    }

    private static int run(int parts) {
        FingerprintFunction function = new FingerprintFunction("a key of the fleet");
        Quarantine quarantine = new Quarantine();
        for (int request = 0; request < REQUESTS; request++) {
            long scope = function.partScope("model");
            for (int part = 0; part < parts; part++) {
                Fingerprint each =
                        function.ofPart(
                                scope, Integer.toHexString((request * 31 + part) % DISTINCT));
                quarantine.partServed(each, request);
            }
        }
        return quarantine.size();
    }
}
