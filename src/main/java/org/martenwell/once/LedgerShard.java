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
 * One ledger object, as one router changes it. All changes that wait go into one conditional
 * update; the object's version is the fence. If an update fails, for whatever reason, the object is
 * read and the changes are applied again, which does no harm if they had taken effect.
 */
final class LedgerShard {

    /** The kind of the platform's objects that hold ledgers. */
    static final String KIND = "ledger";

    /** How long changes are gathered, in milliseconds. */
    private static final long GATHER_MILLIS = 3;

    /** How long changes are tried before they are given up, in milliseconds. */
    private static final long GIVE_UP_MILLIS = 3_000;

    /** The longest pause before another try, in milliseconds. */
    private static final int PAUSE_MILLIS = 20;

    /** The object's name. */
    private final String name;

    /** The platform. */
    private final Platform platform;

    /** Gives the time. */
    private final LongSupplier clock;

    /** Spreads tries. */
    private final Random random;

    /** The changes that wait. */
    private List<LedgerOperation> waiting = new ArrayList<>();

    /** Completes when the changes that wait have taken effect; {@code null} if none wait. */
    private SettablePromise<LedgerClaims> outcome;

    /** {@code true} while changes are being written. */
    private boolean writing;

    /** The version last read or written, 0 if there is no object, negative if it has to be read. */
    private long version = -1;

    /** The ledger at that version. */
    private LedgerClaims page = new LedgerClaims();

    /**
     * Creates a ledger that was not read yet.
     *
     * @param name The object's name.
     * @param platform The platform.
     * @param clock Gives the time.
     * @param random Spreads tries.
     */
    LedgerShard(String name, Platform platform, LongSupplier clock, Random random) {
        this.name = name;
        this.platform = platform;
        this.clock = clock;
        this.random = random;
    }

    /**
     * Makes a change.
     *
     * @param operation The change.
     * @return The ledger in which it has taken effect. If this fails, it may have all the same.
     */
    Promise<LedgerClaims> change(LedgerOperation operation) {
        waiting.add(operation);
        if (outcome == null) {
            outcome = new SettablePromise<>();
        }
        Promise<LedgerClaims> result = outcome;
        writeSoon();
        return result;
    }

    /** Writes what waits after a moment, if nothing is being written. */
    private void writeSoon() {
        if (writing || outcome == null) {
            return;
        }
        writing = true;
        Promises.delay(Duration.ofMillis(GATHER_MILLIS)).whenResult(this::writeAll);
    }

    /** Writes all that waits. */
    private void writeAll() {
        List<LedgerOperation> batch = waiting;
        SettablePromise<LedgerClaims> done = outcome;
        waiting = new ArrayList<>();
        outcome = null;
        write(batch, clock.getAsLong() + GIVE_UP_MILLIS)
                .whenComplete(
                        (result, exception) -> {
                            writing = false;
                            done.set(result, exception);
                            writeSoon();
                        });
    }

    /**
     * Writes changes, again and again until they have taken effect or time is up.
     *
     * @param batch The changes.
     * @param deadline Until when to try.
     * @return The ledger.
     */
    private Promise<LedgerClaims> write(List<LedgerOperation> batch, long deadline) {
        return read().then(() -> update(batch))
                .then(Promise::of, exception -> retry(batch, deadline, exception));
    }

    /**
     * Reads the object if its version is not known.
     *
     * @return Completes when it is.
     */
    private Promise<Void> read() {
        if (version >= 0) {
            return Promise.complete();
        }
        return platform.read(KIND, name)
                .map(
                        found -> {
                            version = found.map(StoredObject::version).orElse(0L);
                            page =
                                    found.map(object -> LedgerClaims.read(object.value()))
                                            .orElseGet(LedgerClaims::new);
                            return null;
                        });
    }

    /**
     * Applies changes and writes the object under its version.
     *
     * @param batch The changes.
     * @return The ledger.
     */
    private Promise<LedgerClaims> update(List<LedgerOperation> batch) {
        page.forget(clock.getAsLong() - 2 * IdempotencyKey.WINDOW_MILLIS);
        batch.forEach(operation -> operation.apply(page));
        byte[] value = page.write();
        LedgerClaims written = page;
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

    /**
     * Tries again after a failure, from what the platform holds then.
     *
     * @param batch The changes.
     * @param deadline Until when to try.
     * @param exception The failure.
     * @return The ledger.
     */
    private Promise<LedgerClaims> retry(
            List<LedgerOperation> batch, long deadline, Exception exception) {
        version = -1;
        if (clock.getAsLong() >= deadline) {
            return Promise.ofException(
                    MartenwellException.of(
                                    ErrorKind.PLATFORM_UNAVAILABLE,
                                    "The ledger can't be written.",
                                    exception)
                            .withOutcome(Outcome.UNKNOWN));
        }
        return Promises.delay(Duration.ofMillis(1 + random.nextInt(PAUSE_MILLIS)))
                .then(() -> write(batch, deadline));
    }
}
