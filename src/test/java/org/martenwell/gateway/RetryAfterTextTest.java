package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Locale;
import org.junit.jupiter.api.Test;

/** Guards against a {@code Retry-After} header that states another delay than intended. */
final class RetryAfterTextTest {

    private static final int MAX_SECONDS = 40;

    private static final int STEPS_PER_SECOND = 1_000;

    @Test
    void testTextHasTwoDecimals() {
        for (int step = 0; step < MAX_SECONDS * STEPS_PER_SECOND; step++) {
            // Between two steps of the last decimal's half, where roundings don't differ.
            double seconds = (step + 0.25) / STEPS_PER_SECOND;
            assertThat(LocalResponder.twoDecimals(seconds))
                    .isEqualTo(String.format(Locale.ROOT, "%.2f", seconds));
        }
    }
}
