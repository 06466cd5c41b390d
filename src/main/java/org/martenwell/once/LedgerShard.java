package org.martenwell.once;

import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.LongSupplier;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.error.Outcome;
import org.martenwell.objects.Platform;
import org.martenwell.objects.StoredObject;

/**
 * One ledger object and the operations of this router on it. Pending operations are written
 * together by a conditional update. After any failure, the object is read again and the operations
 * are applied again, which is safe because they are idempotent.
 */
final class LedgerShard {

    /** Kind of the platform objects that contain the ledger. */
    static final String KIND = "ledger";

    /** Delay before a write, to batch concurrent operations. */
    private static final long BATCH_DELAY_MILLIS = 3;

    /** Time after which a failed batch is not retried. */
    private static final long WRITE_TIMEOUT_MILLIS = 3_000;

    /** Maximum delay before a retry. */
    private static final int MAX_RETRY_DELAY_MILLIS = 20;

    private final String name;

    private final Platform platform;

    private final LongSupplier clock;

    private final Random random;

    private List<LedgerOperation> pending = new ArrayList<>();

    /** Result of the pending operations; {@code null} if there are none. */
    private SettablePromise<LedgerClaims> pendingResult;

    private boolean writing;

    /** Version last read or written; 0 if the object does not exist, negative if unknown. */
    private long version = -1;

    /** Claims at {@code version}. */
    private LedgerClaims claims = new LedgerClaims();

    /**
     * Creates a shard. The object is read on first use.
     *
     * @param name The object's name.
     * @param platform The object service that stores the ledger.
     * @param clock The current time in milliseconds since 1970.
     * @param random The source of jitter for retries.
     */
    LedgerShard(String name, Platform platform, LongSupplier clock, Random random) {
        this.name = name;
        this.platform = platform;
        this.clock = clock;
        this.random = random;
    }

    /**
     * Queues an operation for the next write.
     *
     * @param operation The operation.
     * @return The claims after the operation took effect. If this fails, the operation may still
     *     have taken effect.
     */
    Promise<LedgerClaims> change(LedgerOperation operation) {
        pending.add(operation);
        if (pendingResult == null) {
            pendingResult = new SettablePromise<>();
        }
        Promise<LedgerClaims> result = pendingResult;
        scheduleWrite();
        return result;
    }

    /** Schedules a write of the pending operations, unless one is scheduled or running. */
    private void scheduleWrite() {
        if (writing || pendingResult == null) {
            return;
        }
        writing = true;
        Promises.delay(Duration.ofMillis(BATCH_DELAY_MILLIS)).whenResult(this::writePending);
    }

    private void writePending() {
        List<LedgerOperation> batch = pending;
        SettablePromise<LedgerClaims> result = pendingResult;
        pending = new ArrayList<>();
        pendingResult = null;
        write(batch, clock.getAsLong() + WRITE_TIMEOUT_MILLIS)
                .whenComplete(
                        (updated, exception) -> {
                            writing = false;
                            result.set(updated, exception);
                            scheduleWrite();
                        });
    }

    private Promise<LedgerClaims> write(List<LedgerOperation> batch, long deadline) {
        return read().then(() -> update(batch))
                .then(Promise::of, exception -> retry(batch, deadline, exception));
    }

    /** Reads the object if its version is unknown. */
    private Promise<Void> read() {
        if (version >= 0) {
            return Promise.complete();
        }
        return platform.read(KIND, name)
                .map(
                        found -> {
                            version = found.map(StoredObject::version).orElse(0L);
                            claims =
                                    found.map(object -> LedgerClaims.read(object.value()))
                                            .orElseGet(LedgerClaims::new);
                            return null;
                        });
    }

    private Promise<LedgerClaims> update(List<LedgerOperation> batch) {
        claims.removeOlderThan(clock.getAsLong() - 2 * IdempotencyKey.WINDOW_MILLIS);
        batch.forEach(operation -> operation.apply(claims));
        byte[] value = claims.write();
        LedgerClaims written = claims;
        Promise<StoredObject> stored =
                version == 0
                        ? platform.create(KIND, name, value)
                        : platform.update(KIND, name, value, version);
        return stored.map(
                object -> {
                    version = object.version();
                    return written;
                });
    }

    /** Retries a failed batch from the current state of the object, until the deadline. */
    private Promise<LedgerClaims> retry(
            List<LedgerOperation> batch, long deadline, Exception exception) {
        version = -1;
        if (clock.getAsLong() >= deadline) {
            return Promise.ofException(
                    MartenwellException.of(
                                    ErrorKind.PLATFORM_UNAVAILABLE,
                                    "The ledger could not be written.",
                                    exception)
                            .withOutcome(Outcome.UNKNOWN));
        }
        return Promises.delay(Duration.ofMillis(1 + random.nextInt(MAX_RETRY_DELAY_MILLIS)))
                .then(() -> write(batch, deadline));
    }
}
