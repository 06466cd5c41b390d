package org.martenwell.directory;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/** A store whose lists answer what the test has laid down, in order. */
final class ScriptedStore implements ObjectStore {

    /** What the next lists answer, empty for a failure; the last one is answered again. */
    private final Deque<Optional<EntryPage>> scriptedPages = new ArrayDeque<>();

    /** The failure of the list that hangs, or {@code null} if none does. */
    private SettablePromise<EntryPage> hanging;

    /** Whether the next list hangs. */
    private boolean hangNext;

    /** How many lists were asked for. */
    private int listCount;

    /** The revisions from which watches began. */
    private final List<Long> watchedRevisions = new ArrayList<>();

    /** Lays down what the next list answers. */
    void willReturn(long revision, boolean more, String... names) {
        List<StoredEntry> entries = new ArrayList<>();
        for (String each : names) {
            entries.add(new StoredEntry(each, revision, JsonNodeFactory.instance.objectNode()));
        }
        scriptedPages.add(Optional.of(new EntryPage(entries, more, revision)));
    }

    /** Lays down that the next list fails. */
    void willFail() {
        scriptedPages.add(Optional.empty());
    }

    /** Lets the next list hang until {@link #failHanging}; what is laid down comes after it. */
    void willHang() {
        hangNext = true;
    }

    /** Lets the list that hangs fail. */
    void failHanging() {
        hanging.setException(new IllegalStateException("Took too long."));
    }

    int listCount() {
        return listCount;
    }

    List<Long> watchedRevisions() {
        return watchedRevisions;
    }

    @Override
    public Promise<EntryPage> list(String kind, Optional<String> after, Freshness freshness) {
        listCount++;
        if (hangNext) {
            hangNext = false;
            hanging = new SettablePromise<>();
            return hanging;
        }
        Optional<EntryPage> page =
                scriptedPages.size() > 1 ? scriptedPages.poll() : scriptedPages.element();
        return page.map(Promise::of)
                .orElseGet(() -> Promise.ofException(new IllegalStateException("Away.")));
    }

    @Override
    public Promise<EntryChanges> watch(String kind, long revision, long waitMillis) {
        watchedRevisions.add(revision);
        return Promise.ofException(new IllegalStateException("No change is laid down."));
    }

    @Override
    public Promise<Void> put(String kind, String name, JsonNode value) {
        return Promise.complete();
    }

    @Override
    public Promise<Void> create(String kind, String name, JsonNode value) {
        return Promise.complete();
    }

    @Override
    public Promise<Void> remove(String kind, String name, Optional<Long> revision) {
        return Promise.complete();
    }

    @Override
    public void close() {}
}
