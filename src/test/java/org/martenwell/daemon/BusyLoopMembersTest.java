package org.martenwell.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.martenwell.service.Conditions.await;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.schedule.SchedulingParameters;
import org.martenwell.service.BusyLoop;
import org.martenwell.service.EventLoopThread;
import org.martenwell.service.LoopbackPorts;
import org.martenwell.settings.RouterLimits;
import org.martenwell.settings.RouterSettings;

/**
 * Guards against a router's busy event loop that removes all members of its fleet, since it looks
 * at the time before it reads their heartbeats.
 */
final class BusyLoopMembersTest {

    /** Longer than a member may send no heartbeat, in milliseconds. */
    private static final long BUSY_MILLIS = 3_600;

    private static final RouterLimits LIMITS =
            new RouterLimits(1024, 2, 10, 10_000, 1_000, 1_000, 0);

    private final List<String> ports = LoopbackPorts.free(7);

    private final EventLoopThread peerThread = EventLoopThread.start("punctual-router");

    private final EventLoopThread thread = EventLoopThread.start("busy-router");

    private RouterDaemon peer;

    private RouterDaemon router;

    @BeforeEach
    void start() {
        peer = start(peerThread, "peer", 0);
        router = start(thread, "router", 1);
        await(() -> members() == 1);
    }

    @AfterEach
    void stop() {
        thread.stop();
        peerThread.stop();
    }

    @Test
    void testMembersOfABusyLoopAreKept() {
        int members =
                thread.call(
                        () -> {
                            BusyLoop.block(BUSY_MILLIS);
                            SettablePromise<Integer> found = new SettablePromise<>();
                            // Runs behind the timers of this turn, before sockets are read.
                            thread.loop().post(() -> found.set(router.status().members().size()));
                            return found;
                        });
        assertThat(members).isOne();
    }

    @Test
    void testSilentMemberIsRemoved() {
        peerThread.call(peer::stop);
        await(() -> members() == 0);
        assertThat(members()).isZero();
    }

    private int members() {
        return thread.call(() -> Promise.of(router.status().members().size()));
    }

    private RouterDaemon start(EventLoopThread loop, String name, int index) {
        RouterSettings settings =
                new RouterSettings(
                        name,
                        "domain",
                        ports.get(3 * index),
                        ports.get(3 * index + 1),
                        ports.get(3 * index + 2),
                        ports.get(6),
                        "operators-token-1",
                        "peer-key-of-32-characters-or-more",
                        Optional.of(List.of(ports.get(2), ports.get(5))),
                        Optional.of(LIMITS));
        RouterDaemon created =
                loop.call(
                        () ->
                                Promise.of(
                                        new RouterDaemon(
                                                loop.loop(),
                                                settings,
                                                SchedulingParameters.DEFAULTS,
                                                index)));
        loop.call(created::start);
        return created;
    }
}
