package org.martenwell.directory;

import io.activej.promise.Promise;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * All objects of one kind.
 *
 * @param entries The objects by name.
 * @param revision A revision of the store from which no change is missed.
 */
record KindListing(Map<String, StoredEntry> entries, long revision) {

    /**
     * Lists all objects of a kind, page by page. The objects of the first page may change while the
     * others are read, so the listing goes by the revision of the first.
     *
     * @param store The store.
     * @param kind The kind.
     * @param freshness How fresh the list must be.
     * @return The objects.
     */
    static Promise<KindListing> of(ObjectStore store, String kind, Freshness freshness) {
        return store.list(kind, Optional.empty(), freshness)
                .then(page -> followingPages(store, kind, freshness, page, firstPage(page)));
    }

    /**
     * Reads the pages behind one.
     *
     * @param store The store.
     * @param kind The kind.
     * @param freshness How fresh the list must be.
     * @param page The page.
     * @param listed The listing up to this page; its entries receive the others.
     * @return The objects.
     */
    private static Promise<KindListing> followingPages(
            ObjectStore store,
            String kind,
            Freshness freshness,
            EntryPage page,
            KindListing listed) {
        if (!page.more() || page.entries().isEmpty()) {
            return Promise.of(listed);
        }
        List<StoredEntry> entries = page.entries();
        String last = entries.get(entries.size() - 1).name();
        return store.list(kind, Optional.of(last), freshness)
                .then(
                        next -> {
                            next.entries().forEach(each -> listed.entries.put(each.name(), each));
                            return followingPages(store, kind, freshness, next, listed);
                        });
    }

    /**
     * Begins a listing.
     *
     * @param page The first page.
     * @return The listing of that page alone.
     */
    private static KindListing firstPage(EntryPage page) {
        Map<String, StoredEntry> entries = new HashMap<>();
        page.entries().forEach(each -> entries.put(each.name(), each));
        return new KindListing(entries, page.revision());
    }
}
