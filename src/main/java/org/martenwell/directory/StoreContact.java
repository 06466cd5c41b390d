package org.martenwell.directory;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.observe.LogEvent;

/** Notes when the store last answered about the objects of one kind, and logs when it does not. */
final class StoreContact {

    /** The log. */
    private static final Logger LOGGER = LogManager.getLogger(StoreContact.class);

    /** Where the objects come from. */
    private final KindSource source;

    /** When the store last answered, in milliseconds; first when this gateway began to ask. */
    private long answeredMillis;

    /** Whether the last list failed, so that the store is away. */
    private boolean away;

    /** When the first list of the present outage failed, in milliseconds. */
    private long awaySinceMillis;

    /** When the last list that failed began, in milliseconds; the store was away then. */
    private long awayAtMillis;

    /**
     * Creates a contact that was not lost.
     *
     * @param source Where the objects come from.
     */
    StoreContact(KindSource source) {
        this.source = source;
        this.answeredMillis = source.now();
    }

    /**
     * Returns whether the store is away.
     *
     * @return {@code true} if the last list failed.
     */
    boolean away() {
        return away;
    }

    /**
     * Returns when the last list that failed began.
     *
     * @return The time in milliseconds.
     */
    long awayAtMillis() {
        return awayAtMillis;
    }

    /**
     * Returns how long the store has been away.
     *
     * @return The time in milliseconds.
     */
    long awayMillis() {
        return source.now() - awaySinceMillis;
    }

    /** Notes that the store answered. */
    void answered() {
        away = false;
        answeredMillis = source.now();
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
     * @param began When it began, in milliseconds.
     * @param failure Why.
     */
    void listFailed(long began, Exception failure) {
        awayAtMillis = began;
        if (!away) {
            away = true;
            awaySinceMillis = source.now();
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
                        .with("ageMillis", source.now() - answeredMillis)
                        .message());
    }
}
