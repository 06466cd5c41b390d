package org.martenwell.observe;

import com.codahale.metrics.Reservoir;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.UniformSnapshot;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/** Reservoir of metric values with a precision of two significant digits. Not thread-safe. */
public final class HighDynamicRangeReservoir implements Reservoir {

    /** Precision of recorded values. */
    private static final int SIGNIFICANT_DIGITS = 2;

    /** Upper bound of the histogram: greater values are recorded as this one. */
    private static final long MAX_VALUE = 3_600_000;

    /** Maximum number of values in a snapshot, which are evenly spaced percentiles. */
    private static final int SNAPSHOT_VALUES = 1_000;

    private final Histogram histogram = new Histogram(MAX_VALUE, SIGNIFICANT_DIGITS);

    /** Creates an empty reservoir. */
    public HighDynamicRangeReservoir() {}

    @Override
    public int size() {
        return (int) Math.min(SNAPSHOT_VALUES, histogram.getTotalCount());
    }

    @Override
    public void update(long value) {
        histogram.recordValue(Math.max(0, Math.min(MAX_VALUE, value)));
    }

    @Override
    public Snapshot getSnapshot() {
        List<Long> values = new ArrayList<>();
        if (histogram.getTotalCount() > 0) {
            for (int index = 0; index < size(); index++) {
                double percentile = 100.0 * (index + 0.5) / size();
                values.add(histogram.getValueAtPercentile(percentile));
            }
        }
        return new UniformSnapshot(values);
    }
}
