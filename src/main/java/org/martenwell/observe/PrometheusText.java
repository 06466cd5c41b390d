package org.martenwell.observe;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Map;

/** Exporter of metrics in the Prometheus text format, version 0.0.4. */
public final class PrometheusText {

    /** Prefix of all metric names. */
    private static final String PREFIX = "martenwell_";

    private PrometheusText() {}

    /**
     * Formats the counters, gauges and histograms of a registry. Counters whose names end in {@code
     * _open} may fall and are exported as gauges.
     *
     * @param registry The registry.
     * @return The text of a scrape.
     */
    public static String of(MetricRegistry registry) {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, Counter> entry : registry.getCounters().entrySet()) {
            boolean isGauge = entry.getKey().endsWith("_open");
            appendValue(
                    text,
                    entry.getKey(),
                    isGauge ? "gauge" : "counter",
                    entry.getValue().getCount());
        }
        registry.getGauges()
                .forEach((name, gauge) -> appendValue(text, name, "gauge", gauge.getValue()));
        for (Map.Entry<String, Histogram> entry : registry.getHistograms().entrySet()) {
            appendSummary(text, entry.getKey(), entry.getValue());
        }
        return text.toString();
    }

    /**
     * Appends a metric with a single value.
     *
     * @param text The builder to append to.
     * @param name The metric's name without the prefix.
     * @param type The Prometheus type.
     * @param value The value.
     */
    private static void appendValue(StringBuilder text, String name, String type, Object value) {
        text.append("# TYPE ").append(PREFIX).append(name).append(' ').append(type).append('\n');
        text.append(PREFIX).append(name).append(' ').append(value).append('\n');
    }

    /**
     * Appends a histogram as a summary with three quantiles and the number of values.
     *
     * @param text The builder to append to.
     * @param name The metric's name without the prefix.
     * @param histogram The histogram.
     */
    private static void appendSummary(StringBuilder text, String name, Histogram histogram) {
        Snapshot snapshot = histogram.getSnapshot();
        String prefixedName = PREFIX + name;
        text.append("# TYPE ").append(prefixedName).append(" summary\n");
        for (double quantile : new double[] {0.5, 0.95, 0.99}) {
            text.append(prefixedName).append("{quantile=\"").append(quantile).append("\"} ");
            text.append(snapshot.getValue(quantile)).append('\n');
        }
        text.append(prefixedName).append("_count ").append(histogram.getCount()).append('\n');
    }
}
