package org.martenwell.router;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.configuration.PoolKind;
import org.martenwell.configuration.Target;
import org.martenwell.error.MartenwellException;
import org.martenwell.service.ResponsiveClock;
import org.martenwell.target.CacheEvent;
import org.martenwell.target.LoadReport;
import org.martenwell.target.TargetConnector;
import org.martenwell.target.TargetOrder;
import org.martenwell.target.TargetRequest;
import org.martenwell.target.TargetResponse;

/**
 * Guards against a router's busy event loop that breaks off streams, since their timeouts fire
 * before it reads what the engine has sent. A loop whose clock jumps is late.
 */
final class BusyLoopStreamTest {

    private static final Target TARGET =
            new Target("t", "127.0.0.1:1", "d", PoolKind.MODEL, List.of("m"), 1, true);

    /** Longer than an engine may be silent within a stream, in milliseconds. */
    private static final long BUSY_MILLIS = 20_000;

    /** A delay of the loop that counts in full, in milliseconds. */
    private static final long SHORT_MILLIS = 30;

    /**
     * The number of such delays within which a silent stream must end. The clock of timeouts counts
     * 80 of each 90 ms, so that 15 s of silence last for 563 turns.
     */
    private static final int SILENT_TURNS = 600;

    private static final String EVENT = "id: 1\ndata: {}\n\n";

    private long nowMillis = 1_000;

    private final Eventloop loop =
            Eventloop.builder().withTimeProvider(() -> nowMillis).withCurrentThread().build();

    private final SettablePromise<ByteBuf> source = new SettablePromise<>();

    private Promise<ByteBuf> relayed;

    @BeforeEach
    void start() {
        turn(() -> relayed = relay().get());
    }

    @Test
    void testStreamOfABusyLoopGoesOn() {
        // Timers run behind this task and before sockets are read.
        turn(() -> nowMillis += BUSY_MILLIS);
        turn(() -> {});
        assertThat(relayed.isComplete()).isFalse();
        turn(() -> source.set(ByteBuf.wrapForReading(EVENT.getBytes(StandardCharsets.UTF_8))));
        assertThat(relayed.getResult().getString(StandardCharsets.UTF_8)).isEqualTo(EVENT);
    }

    @Test
    void testStreamOfASilentEngineEnds() {
        for (int count = 0; count < SILENT_TURNS; count++) {
            turn(() -> nowMillis += SHORT_MILLIS);
        }
        assertThat(relayed.getResult().getString(StandardCharsets.UTF_8)).contains("stream_broken");
    }

    /** Guards against a timeout that counts all of the time for which the loop runs its tasks. */
    @Test
    void testManyTasksInATurnAreNoSilence() {
        for (int count = 0; count < SILENT_TURNS; count++) {
            loop.execute(() -> nowMillis += SHORT_MILLIS);
        }
        turn(() -> {});
        turn(() -> {});
        assertThat(relayed.isComplete()).isFalse();
    }

    private StreamRelay relay() {
        ResponsiveClock clock = new ResponsiveClock(loop);
        clock.start();
        return new StreamRelay(
                loop,
                clock::millis,
                new UnusedConnector(),
                TARGET,
                "id",
                ChannelSuppliers.ofAsyncSupplier(() -> source),
                new SilentListener());
    }

    /** Runs an action and then the due timers, in a single turn of the loop. */
    private void turn(Runnable action) {
        loop.execute(action);
        loop.run();
    }

    /** Ignores what happens to the stream. */
    private static final class SilentListener implements StreamListener {

        @Override
        public void events(int count) {}

        @Override
        public void resumed(String lastId) {}

        @Override
        public void completed() {}

        @Override
        public void failed(MartenwellException failure) {}

        @Override
        public void disconnected() {}
    }

    /** Cancels requests and does nothing else. */
    private static final class UnusedConnector implements TargetConnector {

        @Override
        public Promise<TargetResponse> start(Target target, TargetRequest request) {
            throw new AssertionError();
        }

        @Override
        public Promise<TargetResponse> resume(Target target, String requestId, String lastEvent) {
            throw new AssertionError();
        }

        @Override
        public Promise<Void> cancel(Target target, String requestId) {
            return Promise.complete();
        }

        @Override
        public Promise<LoadReport> load(Target target) {
            throw new AssertionError();
        }

        @Override
        public Promise<List<CacheEvent>> cacheEvents(Target target, long after) {
            throw new AssertionError();
        }

        @Override
        public Promise<Void> order(Target target, TargetOrder order) {
            throw new AssertionError();
        }
    }
}
