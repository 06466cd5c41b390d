package org.martenwell.once;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.martenwell.json.Json;

/** Claims of one ledger object, by key. */
final class LedgerClaims {

    private final Map<String, Claim> claims = new LinkedHashMap<>();

    /** Creates an empty set of claims. */
    LedgerClaims() {}

    /**
     * Parses a stored ledger object.
     *
     * @param value The stored value.
     * @return The claims.
     */
    static LedgerClaims read(byte[] value) {
        LedgerClaims ledger = new LedgerClaims();
        Json.read(value, LedgerDocument.class).claims().forEach(ledger::put);
        return ledger;
    }

    /**
     * Serializes the claims.
     *
     * @return The value to store.
     */
    byte[] write() {
        return Json.write(new LedgerDocument(List.copyOf(claims.values())));
    }

    /**
     * Finds the claim of a key.
     *
     * @param key The qualified key.
     * @return The claim, or empty if the key is not claimed.
     */
    Optional<Claim> find(String key) {
        return Optional.ofNullable(claims.get(key));
    }

    /**
     * Finds the claim of a key if the given request holds it.
     *
     * @param key The qualified key.
     * @param requestId The request.
     * @return The claim, or empty if the key is not claimed or another request holds the claim.
     */
    Optional<Claim> findForRequest(String key, String requestId) {
        return find(key).filter(claim -> claim.requestId().equals(requestId));
    }

    /**
     * Adds a claim or replaces the claim of the same key.
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
     * Removes claims whose keys are expired.
     *
     * @param before The time before which timestamps are expired, in milliseconds since 1970.
     */
    void removeOlderThan(long before) {
        claims.values().removeIf(claim -> claim.keyMillis() < before);
    }
}
