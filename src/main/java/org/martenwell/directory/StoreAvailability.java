package org.martenwell.directory;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.observe.LogEvent;

/** Notes when the store last answered about the objects of one kind, and logs when it does not. */
final class StoreAvailability {

    /** The log. */
    private static final Logger LOGGER = LogManager.getLogger(StoreAvailability.class);

    /** Where the objects come from. */
    private final KindSource source;

    /** When the store last answered, in milliseconds; first when this gateway began to ask. */
    private long lastResponseMillis;

    /** Whether the last list failed, so that the store is away. */
    private boolean unavailable;

    /** When the first list of the present outage failed, in milliseconds. */
    private long unavailableSinceMillis;

    /** When the last list that failed began, in milliseconds; the store was away then. */
    private long lastFailedListMillis;

    /**
     * Creates a contact that was not lost.
     *
     * @param source Where the objects come from.
     */
    StoreAvailability(KindSource source) {
        this.source = source;
        this.lastResponseMillis = source.now();
    }

    /**
     * Returns whether the store is away.
     *
     * @return {@code true} if the last list failed.
     */
    boolean unavailable() {
        return unavailable;
    }

    /**
     * Returns when the last list that failed began.
     *
     * @return The time in milliseconds.
     */
    long lastFailedListMillis() {
        return lastFailedListMillis;
    }

    /**
     * Returns how long the store has been away.
     *
     * @return The time in milliseconds.
     */
    long unavailableMillis() {
        return source.now() - unavailableSinceMillis;
    }

    /** Notes that the store answered. */
    void responded() {
        unavailable = false;
        lastResponseMillis = source.now();
    }

    /**
     * Notes that a watch failed.
     *
     * @param failure Why.
     */
    void watchFailed(Exception failure) {
        warn("watch-failed", failure);
    }

    /**
     * Notes that a list failed. Only the first one of an outage is logged.
     *
     * @param startedMillis When it began, in milliseconds.
     * @param failure Why.
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
     * Logs that a call failed, with the age of what stays in force.
     *
     * @param event What happened.
     * @param failure Why.
     */
    private void warn(String event, Exception failure) {
        LOGGER.warn(
                LogEvent.of(event)
                        .with("kind", source.kind())
                        .with("reason", failure.getMessage())
                        .with("ageMillis", source.now() - lastResponseMillis)
                        .message());
    }
}
