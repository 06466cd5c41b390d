package org.martenwell.directory;

import io.activej.promise.Promise;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

/**
 * Complete listing of the objects of one kind.
 *
 * @param entries The objects by name.
 * @param revision The revision to watch from without missing a change.
 */
record KindListing(Map<String, StoredEntry> entries, long revision) {

    /** Character that decoders substitute for bytes that are not valid UTF-8. */
    private static final char REPLACEMENT_CHARACTER = '\uFFFD';

    /** The length of a name up to which a query carries it, in characters. */
    private static final int MAX_QUERY_LENGTH = 1_000;

    /**
     * Lists all objects of a kind, page by page. Objects may change while later pages are read, so
     * the listing has the revision of the first page. Fails at a page that doesn't lead to the next
     * one.
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
        if (!page.hasMore()) {
            return Promise.of(listed);
        }
        Optional<String> last = lastQueryableName(page.entries());
        if (last.isEmpty()) {
            return Promise.ofException(endless(kind));
        }
        return store.list(kind, last, freshness)
                .then(
                        next -> {
                            int size = listed.entries.size();
                            next.entries().forEach(each -> listed.entries.put(each.name(), each));
                            return next.hasMore() && listed.entries.size() == size
                                    ? Promise.ofException(endless(kind))
                                    : followingPages(store, kind, freshness, next, listed);
                        });
    }

    /**
     * Returns the last name from which a list can go on. Other programs may have written names that
     * a query doesn't carry.
     *
     * @param entries The entries of a page.
     * @return The name, empty if there is none.
     */
    private static Optional<String> lastQueryableName(List<StoredEntry> entries) {
        return entries.stream()
                .map(StoredEntry::name)
                .filter(KindListing::isQueryable)
                .reduce((earlier, later) -> later);
    }

    private static boolean isQueryable(String name) {
        return !name.isEmpty()
                && name.length() <= MAX_QUERY_LENGTH
                && name.codePoints().noneMatch(KindListing::isLossy);
    }

    private static boolean isLossy(int codePoint) {
        return Character.getType(codePoint) == Character.SURROGATE
                || codePoint == REPLACEMENT_CHARACTER;
    }

    private static MartenwellException endless(String kind) {
        return MartenwellException.of(
                ErrorKind.PLATFORM_UNAVAILABLE,
                "The list of " + kind + " has a page that doesn't lead to the next one.");
    }

    private static KindListing firstPage(EntryPage page) {
        Map<String, StoredEntry> entries = new HashMap<>();
        page.entries().forEach(each -> entries.put(each.name(), each));
        return new KindListing(entries, page.revision());
    }
}
