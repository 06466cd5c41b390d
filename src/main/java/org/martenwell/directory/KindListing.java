package org.martenwell.directory;

import io.activej.promise.Promise;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Complete listing of the objects of one kind.
 *
 * @param entries The objects by name.
 * @param revision The revision to watch from without missing a change.
 */
record KindListing(Map<String, StoredEntry> entries, long revision) {

    /**
     * Lists all objects of a kind, page by page. Objects may change while later pages are read, so
     * the listing has the revision of the first page.
     *
     * @param store The store.
     * @param kind The kind.
     * @param freshness The required consistency.
     * @return The listing.
     */
    static Promise<KindListing> of(ObjectStore store, String kind, Freshness freshness) {
        return store.list(kind, Optional.empty(), freshness)
                .then(page -> followingPages(store, kind, freshness, page, firstPage(page)));
    }

    /**
     * Reads all pages that follow the given one.
     *
     * @param store The store.
     * @param kind The kind.
     * @param freshness The required consistency.
     * @param page The last page that was read.
     * @param listed The listing so far, to which the entries of further pages are added.
     * @return The complete listing.
     */
    private static Promise<KindListing> followingPages(
            ObjectStore store,
            String kind,
            Freshness freshness,
            EntryPage page,
            KindListing listed) {
        if (!page.hasMore() || page.entries().isEmpty()) {
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

    private static KindListing firstPage(EntryPage page) {
        Map<String, StoredEntry> entries = new HashMap<>();
        page.entries().forEach(each -> entries.put(each.name(), each));
        return new KindListing(entries, page.revision());
    }
}
