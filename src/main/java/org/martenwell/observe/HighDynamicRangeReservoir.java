package org.martenwell.observe;

import com.codahale.metrics.Reservoir;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.UniformSnapshot;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/** Keeps values of a metric in a histogram with two significant digits. Used in one thread. */
public final class HighDynamicRangeReservoir implements Reservoir {

    /** How many significant digits values keep. */
    private static final int DIGITS = 2;

    /** The largest value; greater ones count as this. */
    private static final long LARGEST = 3_600_000;

    /** How many values a snapshot has at most. */
    private static final int SNAPSHOT_VALUES = 1_000;

    /** The values. */
    private final Histogram histogram = new Histogram(LARGEST, DIGITS);

    /** Creates an empty reservoir. */
    public HighDynamicRangeReservoir() {}

    @Override
    public int size() {
        return (int) Math.min(SNAPSHOT_VALUES, histogram.getTotalCount());
    }

    @Override
    public void update(long value) {
        histogram.recordValue(Math.max(0, Math.min(LARGEST, value)));
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
