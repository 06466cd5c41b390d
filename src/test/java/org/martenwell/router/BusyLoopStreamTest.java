package org.martenwell.router;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
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

    /** The number of such delays within which a silent stream must end. */
    private static final int SILENT_TURNS = 1_000;

    private static final String EVENT = "id: 1\ndata: {}\n\n";

    /** The time by which the clock of the loop is ahead, in milliseconds. */
    private final AtomicLong jumpedMillis = new AtomicLong();

    private final Eventloop loop =
            Eventloop.builder()
                    .withTimeProvider(() -> System.currentTimeMillis() + jumpedMillis.get())
                    .build();

    private final Thread thread = new Thread(loop, "busy-stream");

    private final SettablePromise<ByteBuf> source = new SettablePromise<>();

    private Promise<ByteBuf> relayed;

    @BeforeEach
    void start() {
        loop.keepAlive(true);
        thread.setDaemon(true);
        thread.start();
        run(() -> relayed = relay().get());
    }

    @AfterEach
    void stop() {
        loop.execute(loop::breakEventloop);
    }

    @Test
    void testStreamOfABusyLoopGoesOn() {
        // Timers run behind this task and before sockets are read.
        run(() -> jumpedMillis.addAndGet(BUSY_MILLIS));
        run(() -> assertThat(relayed.isComplete()).isFalse());
        run(() -> source.set(ByteBuf.wrapForReading(EVENT.getBytes(StandardCharsets.UTF_8))));
        run(
                () ->
                        assertThat(relayed.getResult().getString(StandardCharsets.UTF_8))
                                .isEqualTo(EVENT));
    }

    @Test
    void testStreamOfASilentEngineEnds() {
        for (int count = 0; count < SILENT_TURNS; count++) {
            run(() -> jumpedMillis.addAndGet(SHORT_MILLIS));
        }
        run(
                () ->
                        assertThat(relayed.getResult().getString(StandardCharsets.UTF_8))
                                .contains("stream_broken"));
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

    /** Runs an action on the loop and waits for its end. */
    private void run(Runnable action) {
        CompletableFuture.runAsync(action, loop).join();
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
