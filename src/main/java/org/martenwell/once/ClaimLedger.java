package org.martenwell.once;

import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.LongSupplier;
import org.martenwell.hash.RendezvousHash;
import org.martenwell.objects.Platform;

/** The claims of all keys, spread over a fixed number of ledger objects by the key's hash. */
public final class ClaimLedger {

    /** How many ledger objects there are; all routers must agree. */
    private static final int SHARDS = 64;

    /** The ledger objects. */
    private final List<LedgerShard> shards = new ArrayList<>();

    /**
     * Creates a ledger that was not read yet.
     *
     * @param platform The platform.
     * @param clock Gives the time.
     * @param random Spreads tries.
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
     * @return Empty if the request has the claim and may run, else the claim of another. If this
     *     fails, the request must not run.
     */
    public Promise<Optional<Claim>> claim(String scope, IdempotencyKey key, String requestId) {
        String full = scope + "/" + key.text();
        return shard(full)
                .change(new ClaimOperation(full, requestId, key.millis()))
                .map(page -> page.find(full).filter(claim -> !claim.requestId().equals(requestId)));
    }

    /**
     * Records that a claimed request ran.
     *
     * @param scope The organisation and service that the key belongs to.
     * @param key The key.
     * @param requestId The request.
     * @param answer Its answer.
     * @return Completes when that has taken effect.
     */
    public Promise<Void> ran(
            String scope, IdempotencyKey key, String requestId, StoredResponse answer) {
        String full = scope + "/" + key.text();
        return shard(full).change(new RecordResponseOperation(full, requestId, answer)).toVoid();
    }

    /**
     * Gives up the claim of a request that certainly did not run.
     *
     * @param scope The organisation and service that the key belongs to.
     * @param key The key.
     * @param requestId The request.
     * @return Completes when that has taken effect.
     */
    public Promise<Void> release(String scope, IdempotencyKey key, String requestId) {
        String full = scope + "/" + key.text();
        return shard(full).change(new ReleaseOperation(full, requestId)).toVoid();
    }

    /**
     * Finds the ledger object of a key.
     *
     * @param full The organisation, the service and the key.
     * @return The ledger object.
     */
    private LedgerShard shard(String full) {
        return shards.get((int) Math.floorMod(RendezvousHash.hash(full), (long) SHARDS));
    }
}
