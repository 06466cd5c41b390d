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

/** A store whose lists return scripted responses in order. Its watches fail or stay pending. */
final class ScriptedStore implements ObjectStore {

    /** The scripted responses, empty for a failure; the last one is repeated. */
    private final Deque<Optional<EntryPage>> scriptedPages = new ArrayDeque<>();

    /** The pending list, or {@code null} if there is none. */
    private SettablePromise<EntryPage> hanging;

    /** Set if the next list stays pending. */
    private boolean hangNext;

    /** The changes that the next watch returns, empty if none are scripted. */
    private Optional<EntryChanges> nextChanges = Optional.empty();

    /** Set if watches stay pending rather than fail. */
    private boolean holdsWatches;

    /** Set if pings fail. */
    private boolean failsPings;

    /** The number of ping calls. */
    private int pingCount;

    /** The number of list calls. */
    private int listCount;

    /** The number of list calls behind which all fail. */
    private int maxLists = Integer.MAX_VALUE;

    /** The names after which lists were requested. */
    private final List<Optional<String>> listedAfter = new ArrayList<>();

    /** The revisions at which watches started. */
    private final List<Long> watchedRevisions = new ArrayList<>();

    /** Adds a response to the script. */
    void willReturn(long revision, boolean hasMore, String... names) {
        List<StoredEntry> entries = new ArrayList<>();
        for (String each : names) {
            entries.add(new StoredEntry(each, revision, JsonNodeFactory.instance.objectNode()));
        }
        scriptedPages.add(Optional.of(new EntryPage(entries, hasMore, revision)));
    }

    /** Adds a failure to the script. */
    void willFail() {
        scriptedPages.add(Optional.empty());
    }

    /**
     * Leaves the next list pending until {@link #failHanging}; scripted responses resume after it.
     */
    void willHang() {
        hangNext = true;
    }

    /** Fails the pending list. */
    void failHanging() {
        hanging.setException(new IllegalStateException("The call timed out."));
    }

    /** Leaves all watches pending. */
    void willHoldWatches() {
        holdsWatches = true;
    }

    /** Makes the next watch report an object, and holds those behind it. */
    void willReport(long revision, String name, boolean removed) {
        holdsWatches = true;
        StoredEntry entry = new StoredEntry(name, revision, JsonNodeFactory.instance.objectNode());
        nextChanges =
                Optional.of(
                        new EntryChanges(
                                List.of(new EntryChange(entry, removed)), revision, false));
    }

    /** Makes pings fail. */
    void failPings() {
        failsPings = true;
    }

    int pingCount() {
        return pingCount;
    }

    int listCount() {
        return listCount;
    }

    /** Fails all lists behind a number of them, which ends a list of endless pages. */
    void failBehind(int lists) {
        maxLists = lists;
    }

    List<Optional<String>> listedAfter() {
        return listedAfter;
    }

    List<Long> watchedRevisions() {
        return watchedRevisions;
    }

    @Override
    public Promise<EntryPage> list(String kind, Optional<String> after, Freshness freshness) {
        listCount++;
        listedAfter.add(after);
        if (listCount > maxLists) {
            return Promise.ofException(new IllegalStateException("Too many lists."));
        }
        if (hangNext) {
            hangNext = false;
            hanging = new SettablePromise<>();
            return hanging;
        }
        Optional<EntryPage> page =
                scriptedPages.size() > 1 ? scriptedPages.poll() : scriptedPages.element();
        return page.map(Promise::of)
                .orElseGet(
                        () ->
                                Promise.ofException(
                                        new IllegalStateException("The store is unavailable.")));
    }

    @Override
    public Promise<EntryChanges> watch(String kind, long revision, long waitMillis) {
        watchedRevisions.add(revision);
        if (nextChanges.isPresent()) {
            EntryChanges changes = nextChanges.get();
            nextChanges = Optional.empty();
            return Promise.of(changes);
        }
        if (holdsWatches) {
            return new SettablePromise<>();
        }
        return Promise.ofException(new IllegalStateException("No watch is scripted."));
    }

    @Override
    public Promise<Void> ping(String kind) {
        pingCount++;
        return failsPings
                ? Promise.ofException(new IllegalStateException("The store is silent."))
                : Promise.complete();
    }

    @Override
    public Promise<Void> put(String kind, String name, JsonNode value) {
        return Promise.complete();
    }

    @Override
    public Promise<Void> replace(String kind, String name, JsonNode value) {
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
