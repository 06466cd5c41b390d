package org.martenwell.router;

import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.martenwell.objects.Box;
import org.martenwell.objects.Platform;
import org.martenwell.objects.StoredObject;
import org.martenwell.service.ManagedService;

/**
 * Follows the platform: its box list on every router, its configuration by a watch on a few. Failed
 * calls are repeated after growing, jittered delays, so that its return starts no stampede.
 */
public final class PlatformFollower implements ManagedService {

    /** How often the box list is read, in milliseconds. */
    private static final long BOXES_MILLIS = 2_000;

    /** How long one watch waits, in milliseconds. */
    private static final long WATCH_MILLIS = 10_000;

    /** How often a router that does not watch looks whether it should, in milliseconds. */
    private static final long IDLE_MILLIS = 1_000;

    /** The longest delay after a failure, in milliseconds. */
    private static final long LONGEST_DELAY_MILLIS = 10_000;

    /** The first delay after a failure, in milliseconds. */
    private static final long FIRST_DELAY_MILLIS = 200;

    /** The loop. */
    private final NioReactor reactor;

    /** The platform. */
    private final Platform platform;

    /** The configuration in force. */
    private final ConfigurationStore store;

    /** Tells whether this router watches. */
    private final BooleanSupplier watching;

    /** Is told of the box list. */
    private final Consumer<List<Box>> boxes;

    /** Spreads calls. */
    private final Random random;

    /** When the platform last answered, or a very early time. */
    private long answeredAt = Long.MIN_VALUE / 2;

    /** The delay after the next failure to watch. */
    private long watchDelayMillis = FIRST_DELAY_MILLIS;

    /** The delay after the next failure to read the box list. */
    private long boxesDelayMillis = FIRST_DELAY_MILLIS;

    /** {@code true} once stopped. */
    private boolean stopped;

    /**
     * Creates a follower that does nothing yet.
     *
     * @param reactor The loop.
     * @param platform The platform.
     * @param store The configuration in force.
     * @param watching Tells whether this router watches.
     * @param boxes Is told of the box list.
     * @param random Spreads calls.
     */
    public PlatformFollower(
            NioReactor reactor,
            Platform platform,
            ConfigurationStore store,
            BooleanSupplier watching,
            Consumer<List<Box>> boxes,
            Random random) {
        this.reactor = reactor;
        this.platform = platform;
        this.store = store;
        this.watching = watching;
        this.boxes = boxes;
        this.random = random;
    }

    @Override
    public Promise<Void> start() {
        readBoxes();
        readConfiguration();
        return Promise.complete();
    }

    @Override
    public Promise<Void> stop() {
        stopped = true;
        return Promise.complete();
    }

    /**
     * Returns when the platform last answered.
     *
     * @return The time.
     */
    public long answeredAt() {
        return answeredAt;
    }

    /** Reads the configuration once, whether this router watches or not. */
    private void readConfiguration() {
        platform.read(ConfigurationStore.KIND, ConfigurationStore.NAME)
                .whenResult(
                        object -> {
                            answered();
                            object.ifPresent(this::offer);
                            later(0, this::watch);
                        })
                .whenException(
                        exception -> {
                            watchDelayMillis = grown(watchDelayMillis);
                            later(watchDelayMillis, this::readConfiguration);
                        });
    }

    /** Waits for the next configuration, if this router watches. */
    private void watch() {
        if (!watching.getAsBoolean()) {
            later(IDLE_MILLIS, this::watch);
            return;
        }
        platform.watch(ConfigurationStore.KIND, store.version(), WATCH_MILLIS)
                .whenResult(
                        objects -> {
                            answered();
                            watchDelayMillis = FIRST_DELAY_MILLIS;
                            objects.stream()
                                    .filter(each -> each.name().equals(ConfigurationStore.NAME))
                                    .forEach(this::offer);
                            later(0, this::watch);
                        })
                .whenException(
                        exception -> {
                            watchDelayMillis = grown(watchDelayMillis);
                            later(watchDelayMillis, this::watch);
                        });
    }

    /** Reads the box list, again and again. */
    private void readBoxes() {
        platform.boxes()
                .whenResult(
                        list -> {
                            answered();
                            boxesDelayMillis = FIRST_DELAY_MILLIS;
                            boxes.accept(list);
                            later(BOXES_MILLIS, this::readBoxes);
                        })
                .whenException(
                        exception -> {
                            boxesDelayMillis = grown(boxesDelayMillis);
                            later(boxesDelayMillis, this::readBoxes);
                        });
    }

    /** Notes that the platform answered. */
    private void answered() {
        answeredAt = reactor.currentTimeMillis();
    }

    /**
     * Offers a stored configuration to be put in force.
     *
     * @param object The platform's object.
     */
    private void offer(StoredObject object) {
        store.offer(object.version(), new String(object.value(), StandardCharsets.UTF_8));
    }

    /**
     * Lets a delay grow.
     *
     * @param millis The delay in milliseconds.
     * @return The longer delay.
     */
    private static long grown(long millis) {
        return Math.min(LONGEST_DELAY_MILLIS, millis * 2);
    }

    /**
     * Does something after a jittered delay, unless stopped.
     *
     * @param millis The delay in milliseconds.
     * @param action The action.
     */
    private void later(long millis, Runnable action) {
        if (!stopped) {
            long jittered = millis == 0 ? 0 : millis / 2 + random.nextLong(millis);
            reactor.delayBackground(jittered, action);
        }
    }
}
