package org.martenwell.once;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.martenwell.json.Json;

/** The claims of one ledger object. */
final class LedgerClaims {

    /** The claims by key. */
    private final Map<String, Claim> claims = new LinkedHashMap<>();

    /** Creates an empty ledger. */
    LedgerClaims() {}

    /**
     * Reads a ledger.
     *
     * @param value The stored value.
     * @return The ledger.
     */
    static LedgerClaims read(byte[] value) {
        LedgerClaims page = new LedgerClaims();
        Json.read(value, LedgerDocument.class).claims().forEach(page::put);
        return page;
    }

    /**
     * Writes the ledger.
     *
     * @return The value to store.
     */
    byte[] write() {
        return Json.write(new LedgerDocument(List.copyOf(claims.values())));
    }

    /**
     * Finds a claim.
     *
     * @param key The key.
     * @return The claim.
     */
    Optional<Claim> find(String key) {
        return Optional.ofNullable(claims.get(key));
    }

    /**
     * Finds a claim of one request.
     *
     * @param key The key.
     * @param requestId The request.
     * @return The claim or empty if it is another's.
     */
    Optional<Claim> findOf(String key, String requestId) {
        return find(key).filter(claim -> claim.requestId().equals(requestId));
    }

    /**
     * Adds or replaces a claim.
     *
     * @param claim The claim.
     */
    void put(Claim claim) {
        claims.put(claim.key(), claim);
    }

    /**
     * Removes a claim.
     *
     * @param claim The claim.
     */
    void remove(Claim claim) {
        claims.remove(claim.key());
    }

    /**
     * Forgets claims whose keys are so old that they are refused.
     *
     * @param before The time before which keys are forgotten.
     */
    void forget(long before) {
        claims.values().removeIf(claim -> claim.keyMillis() < before);
    }
}
