package org.martenwell.directory;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Retries of the watchers of one store. While the store is unavailable, only one watcher retries;
 * the others wait for a response to it, which keeps the calls of an outage independent of the
 * number of kinds.
 */
final class StoreRetries {

    /**
     * The time after which a waiting watcher retries by itself, in milliseconds, in case the store
     * refuses only the kind of the watcher that retries.
     */
    private static final long MAX_WAIT_MILLIS = 5_000;

    /** The kind whose watcher retries, empty while no watcher has failed. */
    private Optional<String> retrying = Optional.empty();

    /** The last failed list of the watcher that retries, empty before the first one. */
    private Optional<FailedList> lastFailed = Optional.empty();

    /** The watchers that wait, by kind. */
    private final Map<String, Waiting> waiting = new LinkedHashMap<>();

    /**
     * A list that failed.
     *
     * @param startedMillis The time at which it started, in milliseconds.
     * @param failure The cause.
     */
    private record FailedList(long startedMillis, Exception failure) {}

    /**
     * A watcher that waits.
     *
     * @param availability Receives the failures of the watcher that retries.
     * @param call Makes the next call.
     */
    private record Waiting(StoreAvailability availability, Runnable call) {}

    /** Creates the retries of a store that is assumed to be available. */
    StoreRetries() {}

    /**
     * Records a failed list of a watcher. If it is the one that retries, the waiting watchers take
     * it for a failure of their own.
     *
     * @param kind The watcher's kind.
     * @param startedMillis The time at which the list started, in milliseconds.
     * @param failure The cause.
     */
    void listFailed(String kind, long startedMillis, Exception failure) {
        if (retrying.filter(kind::equals).isPresent()) {
            lastFailed = Optional.of(new FailedList(startedMillis, failure));
            waiting.values()
                    .forEach(each -> each.availability().listFailed(startedMillis, failure));
        }
    }

    /**
     * Schedules the retry of a watcher: after a delay if it is the one that retries, else after the
     * next response.
     *
     * @param source The watcher's source.
     * @param availability The watcher's view of the store.
     * @param delayMillis The mean delay, in milliseconds.
     * @param call Makes the next call.
     */
    void retry(KindSource source, StoreAvailability availability, long delayMillis, Runnable call) {
        String kind = source.kind();
        if (retrying.isEmpty() || retrying.get().equals(kind)) {
            retrying = Optional.of(kind);
            source.delayWithJitter(delayMillis, call);
            return;
        }
        Waiting added = new Waiting(availability, call);
        waiting.put(kind, added);
        lastFailed.ifPresent(each -> availability.listFailed(each.startedMillis(), each.failure()));
        source.delay(
                MAX_WAIT_MILLIS,
                () -> {
                    if (waiting.remove(kind, added)) {
                        call.run();
                    }
                });
    }

    /**
     * Records a response to a watcher, after which all waiting watchers make their calls.
     *
     * @param kind The watcher's kind.
     */
    void responded(String kind) {
        if (retrying.filter(kind::equals).isPresent()) {
            retrying = Optional.empty();
            lastFailed = Optional.empty();
        }
        waiting.remove(kind);
        List<Waiting> released = List.copyOf(waiting.values());
        waiting.clear();
        released.forEach(each -> each.call().run());
    }
}
