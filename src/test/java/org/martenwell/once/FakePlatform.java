package org.martenwell.once;

import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.objects.Box;
import org.martenwell.objects.Platform;
import org.martenwell.objects.StoredObject;

/**
 * In-memory platform whose calls are delayed, fail at random or lose responses after taking effect.
 */
final class FakePlatform implements Platform {

    private final Map<String, StoredObject> objects = new HashMap<>();
    private final Random random;
    private final double failureRate;
    private final double lostResponseRate;
    private final boolean conditional;
    private long version;
    private long writes;

    /**
     * The rates are between 0 and 1. If {@code conditional} is {@code false}, writes ignore the
     * expected version.
     */
    FakePlatform(long seed, double failureRate, double lostResponseRate, boolean conditional) {
        this.random = new Random(seed);
        this.failureRate = failureRate;
        this.lostResponseRate = lostResponseRate;
        this.conditional = conditional;
    }

    @Override
    public Promise<Optional<StoredObject>> read(String kind, String name) {
        return afterDelay().map(any -> Optional.ofNullable(objects.get(name)));
    }

    @Override
    public Promise<StoredObject> create(String kind, String name, byte[] value) {
        return write(kind, name, value, 0);
    }

    @Override
    public Promise<StoredObject> update(String kind, String name, byte[] value, long expected) {
        return write(kind, name, value, expected);
    }

    private Promise<StoredObject> write(String kind, String name, byte[] value, long expected) {
        return afterDelay()
                .map(
                        any -> {
                            long current =
                                    Optional.ofNullable(objects.get(name))
                                            .map(StoredObject::version)
                                            .orElse(0L);
                            if (conditional && current != expected) {
                                throw MartenwellException.of(ErrorKind.VERSION_CONFLICT, "");
                            }
                            version++;
                            writes++;
                            StoredObject stored = new StoredObject(kind, name, version, value);
                            objects.put(name, stored);
                            return stored;
                        })
                .then(
                        stored ->
                                random.nextDouble() < lostResponseRate
                                        ? failed()
                                        : Promise.of(stored));
    }

    private Promise<Void> afterDelay() {
        return Promises.delay(Duration.ofMillis(random.nextInt(4)))
                .then(() -> random.nextDouble() < failureRate ? failed() : Promise.complete());
    }

    private static <T> Promise<T> failed() {
        return Promise.ofException(
                MartenwellException.of(ErrorKind.PLATFORM_UNAVAILABLE, "No response."));
    }

    @Override
    public Promise<List<StoredObject>> watch(String kind, long after, long waitMillis) {
        return failed();
    }

    @Override
    public Promise<List<Box>> boxes() {
        return failed();
    }

    @Override
    public long callCount() {
        return writes;
    }
}
