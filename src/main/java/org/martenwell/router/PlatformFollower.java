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
 * Polls the platform's box list on every router and watches the configuration on the routers that
 * are selected for it. Failed calls are repeated with jittered exponential backoff, so that the
 * routers do not all call at once when the platform recovers.
 */
public final class PlatformFollower implements ManagedService {

    /** Interval between reads of the box list. */
    private static final long BOX_LIST_POLL_MILLIS = 2_000;

    /** Maximum time of one long poll for changes. */
    private static final long WATCH_TIMEOUT_MILLIS = 10_000;

    /** Interval at which a router that does not watch checks whether it should. */
    private static final long WATCH_CHECK_MILLIS = 1_000;

    private static final long MAX_DELAY_MILLIS = 10_000;

    private static final long INITIAL_DELAY_MILLIS = 200;

    private final NioReactor reactor;

    private final Platform platform;

    private final ConfigurationStore store;

    private final BooleanSupplier shouldWatch;

    private final Consumer<List<Box>> boxListener;

    private final Random random;

    /** Time of the last successful call, or a time long before the start. */
    private long lastResponseAt = Long.MIN_VALUE / 2;

    /**
     * The newest version that was offered, valid or not. A watch for what follows the active
     * version returns an invalid one at once, again and again.
     */
    private long offeredVersion;

    private long watchDelayMillis = INITIAL_DELAY_MILLIS;

    private long boxesDelayMillis = INITIAL_DELAY_MILLIS;

    private boolean stopped;

    /**
     * Creates a follower; {@link #start()} begins to call the platform.
     *
     * @param reactor The event loop.
     * @param platform The platform.
     * @param store The store to which configurations are offered.
     * @param shouldWatch Returns {@code true} while this router has to watch the configuration.
     * @param boxListener The listener for each box list read.
     * @param random The source of jitter.
     */
    public PlatformFollower(
            NioReactor reactor,
            Platform platform,
            ConfigurationStore store,
            BooleanSupplier shouldWatch,
            Consumer<List<Box>> boxListener,
            Random random) {
        this.reactor = reactor;
        this.platform = platform;
        this.store = store;
        this.shouldWatch = shouldWatch;
        this.boxListener = boxListener;
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
     * {@return the time of the last successful call in milliseconds since 1970, or a time long
     * before the start if there was none}
     */
    public long lastResponseAt() {
        return lastResponseAt;
    }

    /** Reads the configuration until a read succeeds, then starts to watch it. */
    private void readConfiguration() {
        platform.read(ConfigurationStore.KIND, ConfigurationStore.NAME)
                .whenResult(
                        object -> {
                            recordResponse();
                            object.ifPresent(this::offer);
                            schedule(0, this::watch);
                        })
                .whenException(
                        exception -> {
                            watchDelayMillis = nextDelay(watchDelayMillis);
                            schedule(watchDelayMillis, this::readConfiguration);
                        });
    }

    private void watch() {
        if (!shouldWatch.getAsBoolean()) {
            schedule(WATCH_CHECK_MILLIS, this::watch);
            return;
        }
        long after = Math.max(store.version(), offeredVersion);
        platform.watch(ConfigurationStore.KIND, after, WATCH_TIMEOUT_MILLIS)
                .whenResult(
                        objects -> {
                            recordResponse();
                            watchDelayMillis = INITIAL_DELAY_MILLIS;
                            objects.stream()
                                    .filter(each -> each.name().equals(ConfigurationStore.NAME))
                                    .forEach(this::offer);
                            schedule(0, this::watch);
                        })
                .whenException(
                        exception -> {
                            watchDelayMillis = nextDelay(watchDelayMillis);
                            schedule(watchDelayMillis, this::watch);
                        });
    }

    private void readBoxes() {
        platform.boxes()
                .whenResult(
                        list -> {
                            recordResponse();
                            boxesDelayMillis = INITIAL_DELAY_MILLIS;
                            boxListener.accept(list);
                            schedule(BOX_LIST_POLL_MILLIS, this::readBoxes);
                        })
                .whenException(
                        exception -> {
                            boxesDelayMillis = nextDelay(boxesDelayMillis);
                            schedule(boxesDelayMillis, this::readBoxes);
                        });
    }

    private void recordResponse() {
        lastResponseAt = reactor.currentTimeMillis();
    }

    private void offer(StoredObject object) {
        offeredVersion = Math.max(offeredVersion, object.version());
        store.offer(object.version(), new String(object.value(), StandardCharsets.UTF_8));
    }

    private static long nextDelay(long millis) {
        return Math.min(MAX_DELAY_MILLIS, millis * 2);
    }

    /** Runs an action after a delay of 50 to 150 % of {@code millis}, unless stopped. */
    private void schedule(long millis, Runnable action) {
        if (!stopped) {
            long jittered = millis == 0 ? 0 : millis / 2 + random.nextLong(millis);
            reactor.delayBackground(jittered, action);
        }
    }
}
