package org.martenwell.observe;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Map;

/** Writes metrics in Prometheus's text form, version 0.0.4. */
public final class PrometheusText {

    /** Starts every name. */
    private static final String PREFIX = "martenwell_";

    /** Not instantiated. */
    private PrometheusText() {}

    /**
     * Writes all metrics of a registry.
     *
     * @param registry The registry.
     * @return The text.
     */
    public static String of(MetricRegistry registry) {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, Counter> entry : registry.getCounters().entrySet()) {
            boolean level = entry.getKey().endsWith("_open");
            line(text, entry.getKey(), level ? "gauge" : "counter", entry.getValue().getCount());
        }
        registry.getGauges().forEach((name, gauge) -> line(text, name, "gauge", gauge.getValue()));
        for (Map.Entry<String, Histogram> entry : registry.getHistograms().entrySet()) {
            summary(text, entry.getKey(), entry.getValue());
        }
        return text.toString();
    }

    /**
     * Writes one number.
     *
     * @param text Receives the text.
     * @param name The name.
     * @param type The type.
     * @param value The number.
     */
    private static void line(StringBuilder text, String name, String type, Object value) {
        text.append("# TYPE ").append(PREFIX).append(name).append(' ').append(type).append('\n');
        text.append(PREFIX).append(name).append(' ').append(value).append('\n');
    }

    /**
     * Writes a summary.
     *
     * @param text Receives the text.
     * @param name The name.
     * @param histogram The histogram.
     */
    private static void summary(StringBuilder text, String name, Histogram histogram) {
        Snapshot snapshot = histogram.getSnapshot();
        String full = PREFIX + name;
        text.append("# TYPE ").append(full).append(" summary\n");
        for (double quantile : new double[] {0.5, 0.95, 0.99}) {
            text.append(full).append("{quantile=\"").append(quantile).append("\"} ");
            text.append(snapshot.getValue(quantile)).append('\n');
        }
        text.append(full).append("_count ").append(histogram.getCount()).append('\n');
    }
}
