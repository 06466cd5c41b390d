package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.net.socket.tcp.ITcpSocket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against bursts of connections that hold the event loop up, and against callers that wait
 * for seconds until they are refused.
 */
final class AcceptQueueTest {

    private static final int BURST = 1_000;

    /** The time of an iteration at most, in milliseconds. */
    private static final long STEP_MILLIS = 10;

    private long nowMillis = 1_000_000;

    /** The time without delays of the event loop, in milliseconds. */
    private long responsiveMillis;

    private final Eventloop loop =
            Eventloop.builder().withTimeProvider(() -> nowMillis).withCurrentThread().build();

    /** The number of connections that were read in each iteration. */
    private final List<Integer> read = new ArrayList<>();

    private int readCount;

    private int refusedCount;

    private final AcceptQueue queue =
            new AcceptQueue(
                    loop,
                    () -> responsiveMillis,
                    new AcceptQueue.Receiver() {

                        @Override
                        public void read(ITcpSocket socket) {
                            readCount++;
                        }

                        @Override
                        public void refuse(ITcpSocket socket) {
                            refusedCount++;
                        }
                    });

    @Test
    void testConnectionOfAnIdleLoopIsReadAtOnce() {
        queue.add(null);
        assertThat(readCount).isEqualTo(1);
        assertThat(queue.ageMillis()).isZero();
    }

    @Test
    void testFewConnectionsAreReadInAnIteration() {
        addBurst();
        assertThat(readCount).isLessThan(BURST / 10);
        assertThat(queue.size()).isEqualTo(BURST - readCount);
        iterate(0);
        assertThat(read).allSatisfy(each -> assertThat(each).isLessThan(BURST / 10));
        assertThat(readCount).isEqualTo(BURST);
        assertThat(refusedCount).isZero();
    }

    @Test
    void testConnectionsThatHaveWaitedForTooLongAreRefused() {
        addBurst();
        iterate(STEP_MILLIS);
        assertThat(readCount).isBetween(BURST / 5, BURST / 2);
        assertThat(readCount + refusedCount).isEqualTo(BURST);
    }

    /** What arrived while the loop stood still has not waited for others. */
    @Test
    void testDelayOfTheLoopRefusesNobody() {
        addBurst();
        nowMillis += 10_000;
        iterate(0);
        assertThat(refusedCount).isZero();
    }

    @Test
    void testAllAreReadAtTheEnd() {
        addBurst();
        queue.readAll();
        assertThat(readCount).isEqualTo(BURST);
        assertThat(queue.size()).isZero();
    }

    private void addBurst() {
        for (int count = 0; count < BURST; count++) {
            queue.add(null);
        }
    }

    /** Runs iterations of the loop, each of which takes some time, until nothing waits. */
    private void iterate(long responsiveStepMillis) {
        loop.post(() -> countIteration(responsiveStepMillis));
        loop.run();
    }

    private void countIteration(long responsiveStepMillis) {
        int before = readCount;
        nowMillis += STEP_MILLIS;
        responsiveMillis += responsiveStepMillis;
        loop.postNext(
                () -> {
                    read.add(readCount - before);
                    if (queue.size() > 0) {
                        countIteration(responsiveStepMillis);
                    }
                });
    }
}
