package org.martenwell.once;

import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.LongSupplier;
import org.martenwell.hash.RendezvousHash;
import org.martenwell.objects.Platform;

/**
 * Claims of idempotency keys, distributed over a fixed number of ledger objects by the key's hash.
 */
public final class ClaimLedger {

    /** Number of ledger objects; must be the same on all routers. */
    private static final int SHARDS = 64;

    private final List<LedgerShard> shards = new ArrayList<>();

    /**
     * Creates a ledger. The ledger objects are read on first use.
     *
     * @param platform The object service that stores the ledger.
     * @param clock The current time in milliseconds since 1970.
     * @param random The source of jitter for retries.
     */
    public ClaimLedger(Platform platform, LongSupplier clock, Random random) {
        for (int index = 0; index < SHARDS; index++) {
            shards.add(new LedgerShard("shard-" + index, platform, clock, random));
        }
    }

    /**
     * Claims a key for a request.
     *
     * @param scope The organisation and service that the key belongs to.
     * @param key The key.
     * @param requestId The request.
     * @return Empty if the request holds the claim and may run, else the claim of another request.
     *     If this fails, the request must not run.
     */
    public Promise<Optional<Claim>> claim(String scope, IdempotencyKey key, String requestId) {
        String qualifiedKey = scope + "/" + key.text();
        return shard(qualifiedKey)
                .change(new ClaimOperation(qualifiedKey, requestId, key.millis()))
                .map(
                        claims ->
                                claims.find(qualifiedKey)
                                        .filter(claim -> !claim.requestId().equals(requestId)));
    }

    /**
     * Records that a claimed request ran.
     *
     * @param scope The organisation and service that the key belongs to.
     * @param key The key.
     * @param requestId The request.
     * @param response The response to the request.
     * @return A promise that completes when the record is stored.
     */
    public Promise<Void> recordResponse(
            String scope, IdempotencyKey key, String requestId, StoredResponse response) {
        String qualifiedKey = scope + "/" + key.text();
        return shard(qualifiedKey)
                .change(new RecordResponseOperation(qualifiedKey, requestId, response))
                .toVoid();
    }

    /**
     * Releases the claim of a request that did not run and will not run.
     *
     * @param scope The organisation and service that the key belongs to.
     * @param key The key.
     * @param requestId The request.
     * @return A promise that completes when the release is stored.
     */
    public Promise<Void> release(String scope, IdempotencyKey key, String requestId) {
        String qualifiedKey = scope + "/" + key.text();
        return shard(qualifiedKey).change(new ReleaseOperation(qualifiedKey, requestId)).toVoid();
    }

    private LedgerShard shard(String qualifiedKey) {
        return shards.get((int) Math.floorMod(RendezvousHash.hash(qualifiedKey), (long) SHARDS));
    }
}
