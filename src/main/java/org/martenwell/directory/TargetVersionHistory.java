package org.martenwell.directory;

import io.activej.promise.Promise;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.martenwell.error.MartenwellException;
import org.martenwell.version.ServiceVersion;

/**
 * Reads the versions of all targets that the store has ever held, while it still has the history of
 * its changes from the first one on. A store retains that for some time after it was set up.
 */
final class TargetVersionHistory {

    /** The revision before the first change. */
    private static final long FIRST_REVISION = 0;

    /** The time for which the store waits for a further change, in milliseconds. */
    private static final long WAIT_MILLIS = 100;

    /** The most changes that are read. */
    private static final int MAX_CHANGES = 200_000;

    private final ObjectStore store;

    private final EntryReader reader;

    /**
     * Creates an instance.
     *
     * @param store The store.
     * @param reader Parses the entries of targets.
     */
    TargetVersionHistory(ObjectStore store, EntryReader reader) {
        this.store = store;
        this.reader = reader;
    }

    /**
     * Reads the versions.
     *
     * @return The versions, empty if the store doesn't have its history from the first change on.
     */
    Promise<Optional<Set<ServiceVersion>>> read() {
        return KindListing.of(store, reader.targetKind(), Freshness.CURRENT)
                .then(listing -> follow(new Replay(listing), FIRST_REVISION));
    }

    private Promise<Optional<Set<ServiceVersion>>> follow(Replay replay, long revision) {
        return store.watch(reader.targetKind(), revision, WAIT_MILLIS)
                .then(
                        changes -> {
                            if (changes.historyLost() || !replay.apply(changes)) {
                                return Promise.of(Optional.empty());
                            }
                            return replay.isOver(changes)
                                    ? Promise.of(replay.versions())
                                    : follow(replay, changes.revision());
                        });
    }

    /** The changes up to a list of the targets, which has to follow from them. */
    private final class Replay {

        private final KindListing listing;

        /** The revision up to which changes are read. */
        private final long lastRevision;

        /** The revisions of the last changes, by name. */
        private final Map<String, Long> revisions = new HashMap<>();

        private final Set<ServiceVersion> versions = new HashSet<>();

        private int changeCount;

        private Replay(KindListing listing) {
            this.listing = listing;
            this.lastRevision =
                    listing.entries().values().stream()
                            .mapToLong(StoredEntry::revision)
                            .reduce(listing.revision(), Math::max);
        }

        /** Returns {@code false} if earlier changes are missing, or there are too many. */
        private boolean apply(EntryChanges changes) {
            changeCount += changes.changes().size();
            for (EntryChange each : changes.changes()) {
                String name = each.entry().name();
                if (each.removed()) {
                    if (!revisions.containsKey(name)) {
                        return false;
                    }
                } else {
                    revisions.put(name, each.entry().revision());
                    add(each.entry());
                }
            }
            return changeCount <= MAX_CHANGES;
        }

        private void add(StoredEntry entry) {
            try {
                DirectoryTarget target = reader.target(entry.name(), entry.value());
                versions.add(new ServiceVersion(target.service(), target.version()));
            } catch (MartenwellException exception) {
                // No gateway sends requests to a target whose entry can't be parsed.
                return;
            }
        }

        private boolean isOver(EntryChanges changes) {
            return changes.changes().isEmpty() || changes.revision() >= lastRevision;
        }

        /** Returns the versions, empty if a listed entry isn't the result of a change. */
        private Optional<Set<ServiceVersion>> versions() {
            boolean complete =
                    listing.entries().values().stream()
                            .allMatch(
                                    each ->
                                            revisions.getOrDefault(each.name(), -1L)
                                                    >= each.revision());
            return complete ? Optional.of(versions) : Optional.empty();
        }
    }
}
