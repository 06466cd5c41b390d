package org.martenwell.router;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.martenwell.error.ErrorKind;

/** The metrics of a router. */
public final class RouterMetrics {

    /** The registry. */
    private final MetricRegistry registry = new MetricRegistry();

    /** Requests sent to targets, retries included. */
    private final Counter routed = registry.counter("requests_routed");

    /** Answers begun to callers. */
    private final Counter answered = registry.counter("requests_answered");

    /** Attempts after the first. */
    private final Counter retried = registry.counter("requests_retried");

    /** Streams resumed. */
    private final Counter resumed = registry.counter("streams_resumed");

    /** Streams open now. */
    private final Counter streams = registry.counter("streams_open");

    /** Callers that left before their answer ended. */
    private final Counter left = registry.counter("callers_left");

    /** The time that requests waited for a slot, in milliseconds. */
    private final Histogram waited = registry.histogram("wait_millis");

    /** Refusals and failures by kind. */
    private final Map<ErrorKind, Counter> refusals = new EnumMap<>(ErrorKind.class);

    /** Creates metrics at zero. */
    public RouterMetrics() {}

    /**
     * Returns the registry.
     *
     * @return The registry.
     */
    public MetricRegistry registry() {
        return registry;
    }

    /**
     * Adds a number that is read when asked for.
     *
     * @param name The number's name.
     * @param value Reads it.
     */
    public void gauge(String name, LongSupplier value) {
        registry.register(name, (Gauge<Long>) value::getAsLong);
    }

    /**
     * Counts a request sent to a target.
     *
     * @param waitedMillis How long it waited for a slot, in milliseconds.
     */
    void routed(long waitedMillis) {
        routed.inc();
        waited.update(waitedMillis);
    }

    /** Counts an answer begun to a caller. */
    public void answered() {
        answered.inc();
    }

    /** Counts an attempt after the first. */
    void retried() {
        retried.inc();
    }

    /** Counts a stream resumed. */
    void resumed() {
        resumed.inc();
    }

    /** Counts a stream opened. */
    void streamOpened() {
        streams.inc();
    }

    /** Counts a stream closed. */
    void streamClosed() {
        streams.dec();
    }

    /** Counts a caller that left. */
    void callerLeft() {
        left.inc();
    }

    /**
     * Counts a refusal or failure.
     *
     * @param kind Its kind.
     */
    public void refused(ErrorKind kind) {
        refusals.computeIfAbsent(kind, key -> registry.counter("refused_" + key.code())).inc();
    }
}
