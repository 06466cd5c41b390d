package org.martenwell.directory;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.observe.LogEvent;

/** Tracks whether the store responds to calls for the objects of one kind, and logs failures. */
final class StoreAvailability {

    private static final Logger LOGGER = LogManager.getLogger(StoreAvailability.class);

    private final KindSource source;

    /** The time of the last response, initially of the creation, in milliseconds. */
    private long lastResponseMillis;

    /** Set while the last list has failed. */
    private boolean unavailable;

    /** The time at which the first list of the current outage failed, in milliseconds. */
    private long unavailableSinceMillis;

    /** The time at which the last failed list started, in milliseconds. */
    private long lastFailedListMillis;

    /**
     * Creates a tracker that assumes an available store.
     *
     * @param source The source of the objects.
     */
    StoreAvailability(KindSource source) {
        this.source = source;
        this.lastResponseMillis = source.now();
    }

    /**
     * Returns whether the last list failed.
     *
     * @return {@code true} if the store is unavailable.
     */
    boolean unavailable() {
        return unavailable;
    }

    /**
     * {@return the time at which the last failed list started, in milliseconds of the event loop's
     * clock}
     */
    long lastFailedListMillis() {
        return lastFailedListMillis;
    }

    /** {@return the time since the first list of the last outage failed, in milliseconds} */
    long unavailableMillis() {
        return source.now() - unavailableSinceMillis;
    }

    /** {@return the time since the last response, in milliseconds} */
    long responseAgeMillis() {
        return source.now() - lastResponseMillis;
    }

    /** Records a response from the store, which ends an outage. */
    void responded() {
        unavailable = false;
        lastResponseMillis = source.now();
    }

    /**
     * Logs a failed watch. A list follows, which decides on the availability.
     *
     * @param failure The cause.
     */
    void watchFailed(Exception failure) {
        warn("watch-failed", failure);
    }

    /**
     * Records a failed list. Only the first failure of an outage is logged.
     *
     * @param startedMillis The time at which the list started, in milliseconds.
     * @param failure The cause.
     */
    void listFailed(long startedMillis, Exception failure) {
        lastFailedListMillis = startedMillis;
        if (!unavailable) {
            unavailable = true;
            unavailableSinceMillis = source.now();
            warn("store-lost", failure);
        }
    }

    /**
     * Logs a failed call with the age of the data that stays in use.
     *
     * @param event The name of the log event.
     * @param failure The cause.
     */
    private void warn(String event, Exception failure) {
        LOGGER.warn(
                LogEvent.of(event)
                        .with("kind", source.kind())
                        .with("reason", failure.getMessage())
                        .with("ageMillis", responseAgeMillis())
                        .message());
    }
}
