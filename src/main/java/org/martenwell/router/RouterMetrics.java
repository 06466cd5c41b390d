package org.martenwell.router;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.martenwell.error.ErrorKind;

/** Metrics of a router. */
public final class RouterMetrics {

    private final MetricRegistry registry = new MetricRegistry();

    /** Attempts sent to targets, including retries. */
    private final Counter routed = registry.counter("requests_routed");

    /** Responses returned by targets or from the ledger. */
    private final Counter responded = registry.counter("requests_answered");

    private final Counter retried = registry.counter("requests_retried");

    private final Counter resumed = registry.counter("streams_resumed");

    private final Counter openStreams = registry.counter("streams_open");

    private final Counter callersDisconnected = registry.counter("callers_left");

    private final Histogram waitMillis = registry.histogram("wait_millis");

    /** Rejected and failed requests, by kind of error. */
    private final Map<ErrorKind, Counter> failures = new EnumMap<>(ErrorKind.class);

    /** Creates metrics with all counters at zero. */
    public RouterMetrics() {}

    /** {@return the registry that contains all metrics} */
    public MetricRegistry registry() {
        return registry;
    }

    /**
     * Registers a gauge.
     *
     * @param name The name of the metric, not yet registered.
     * @param value The supplier of the current value.
     */
    public void gauge(String name, LongSupplier value) {
        registry.register(name, (Gauge<Long>) value::getAsLong);
    }

    /**
     * Counts an attempt sent to a target.
     *
     * @param waitedMillis The time that the request waited for slots, in milliseconds.
     */
    void routed(long waitedMillis) {
        routed.inc();
        waitMillis.update(waitedMillis);
    }

    /** Counts a response returned by a target or from the ledger. */
    public void responded() {
        responded.inc();
    }

    /** Counts an attempt after the first. */
    void retried() {
        retried.inc();
    }

    /** Counts a resumed stream. */
    void resumed() {
        resumed.inc();
    }

    /** Counts an opened stream. */
    void streamOpened() {
        openStreams.inc();
    }

    /** Counts a closed stream. */
    void streamClosed() {
        openStreams.dec();
    }

    /** Counts a caller that disconnected before the end of its response. */
    void callerDisconnected() {
        callersDisconnected.inc();
    }

    /**
     * Counts a rejected or failed request.
     *
     * @param kind The kind of error.
     */
    public void failed(ErrorKind kind) {
        failures.computeIfAbsent(kind, key -> registry.counter("refused_" + key.code())).inc();
    }
}
