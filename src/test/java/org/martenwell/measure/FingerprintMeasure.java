package org.martenwell.measure;

import org.martenwell.quarantine.FingerprintFunction;

/**
 * Measures the time to compute a request fingerprint. Run with the JVM options of the deployment,
 * which disable the C2 compiler.
 */
public final class FingerprintMeasure {

    private static final int[] BODY_SIZES = {0, 1_000, 12_000, 10_000_000};

    /** The number of bytes hashed per body size, after a warm-up of the same length. */
    private static final long HASHED_BYTES = 200_000_000;

    private static final long MAX_REQUESTS = 200_000;

    private static final double NANOS_PER_MICRO = 1_000;

    private FingerprintMeasure() {}

    /**
     * Prints the time per request for each body size.
     *
     * @param arguments Not used.
     */
    public static void main(String[] arguments) {
        FingerprintFunction function = new FingerprintFunction("a key of the fleet");
        for (int size : BODY_SIZES) {
            long requests = Math.min(MAX_REQUESTS, HASHED_BYTES / Math.max(1, size));
            run(function, size, requests);
            long start = System.nanoTime();
            long sum = run(function, size, requests);
            double micros = (System.nanoTime() - start) / NANOS_PER_MICRO / requests;
            System.out.printf("%d bytes: %.2f us (%d)%n", size, micros, sum & 1);
        }
    }

    /** Computes fingerprints and returns their sum, which prevents dead code elimination. */
    private static long run(FingerprintFunction function, int size, long requests) {
        byte[] body = new byte[size];
        long sum = 0;
        for (long request = 0; request < requests; request++) {
            long scope = function.scope("POST", "h.example", "/path/of/some/length/", "clinic");
            sum += function.of(scope, body).content();
        }
        return sum;
    }
}
