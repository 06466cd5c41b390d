package org.martenwell.version;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Origins of streams in the order in which they became known, in batches to store. A batch is
 * stored repeatedly while origins are added to it, so that origins are stored soon by few objects.
 */
public final class OriginBatches {

    /** The time for which origins are added to one batch, in milliseconds. */
    private static final long BATCH_MILLIS = 2_500;

    /** The most origins of a batch; one takes 11 bytes in an object. */
    private static final int MAX_BATCH_SIZE = 20_000;

    private final String prefix;

    /** The batches that are not stored completely and the last one, the oldest first. */
    private final Deque<Batch> batches = new ArrayDeque<>();

    private long created;

    /** A batch that may grow. */
    private static final class Batch {

        private final String name;

        private final long sinceMillis;

        private final List<StreamOrigin> origins = new ArrayList<>();

        private int storedCount;

        private boolean exists;

        Batch(String name, long sinceMillis) {
            this.name = name;
            this.sinceMillis = sinceMillis;
        }

        boolean isStored() {
            return storedCount == origins.size();
        }
    }

    /**
     * Creates an instance without origins.
     *
     * @param prefix The prefix of the batches' names, which no other process uses.
     */
    public OriginBatches(String prefix) {
        this.prefix = prefix;
    }

    /**
     * Adds an origin.
     *
     * @param origin The origin.
     * @param now The current time, in milliseconds.
     */
    public void add(StreamOrigin origin, long now) {
        Batch last = batches.peekLast();
        if (last == null
                || now - last.sinceMillis >= BATCH_MILLIS
                || last.origins.size() >= MAX_BATCH_SIZE) {
            batches.removeIf(Batch::isStored);
            last = new Batch(prefix + "-" + created++, now);
            batches.add(last);
        }
        last.origins.add(origin);
    }

    /** {@return the oldest batch with origins that are not stored, empty if all are} */
    public Optional<OriginBatch> unstored() {
        return batches.stream()
                .filter(each -> !each.isStored())
                .findFirst()
                .map(each -> new OriginBatch(each.name, each.exists, each.origins));
    }

    /**
     * Records that a batch was stored.
     *
     * @param batch The batch, as returned by {@link #unstored}.
     */
    public void stored(OriginBatch batch) {
        for (Batch each : batches) {
            if (each.name.equals(batch.name())) {
                each.storedCount = batch.origins().size();
                each.exists = true;
            }
        }
    }

    /**
     * Records that it isn't known whether a batch was stored.
     *
     * @param batch The batch, as returned by {@link #unstored}.
     */
    public void failed(OriginBatch batch) {
        for (Batch each : batches) {
            if (each.name.equals(batch.name())) {
                each.exists = false;
            }
        }
    }

    /**
     * Discards old batches.
     *
     * @param millis The time, in milliseconds; batches that were begun before are discarded.
     */
    public void discardBefore(long millis) {
        batches.removeIf(each -> each.sinceMillis < millis);
    }
}
