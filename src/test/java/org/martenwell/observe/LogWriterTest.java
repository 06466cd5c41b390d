package org.martenwell.observe;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.spi.ExtendedLogger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class LogWriterTest {

    private final ByteArrayOutputStream written = new ByteArrayOutputStream();

    @Test
    @Timeout(60)
    void testTerminateWritesQueuedLinesAndEndsThread() {
        Set<Thread> before = Thread.getAllStackTraces().keySet();
        LogWriter writer = startWriter(written);
        JsonLoggerContext context =
                new JsonLoggerContext(
                        new LogConfiguration(LogTarget.SYSTEM_ERR, Level.INFO), writer);
        ExtendedLogger logger = context.getLogger("org.martenwell.X");
        logger.debug("not written");
        logger.info("first");
        logger.error("second");
        List<Thread> writerThreads =
                Thread.getAllStackTraces().keySet().stream()
                        .filter(each -> each.getName().equals("log-writer"))
                        .filter(each -> !before.contains(each))
                        .toList();
        context.terminate();
        context.terminate();
        assertThat(writerThreads).isNotEmpty().noneMatch(Thread::isAlive);
        assertThat(text().lines())
                .hasSize(2)
                .satisfiesExactly(
                        line -> assertThat(line).contains("first"),
                        line -> assertThat(line).contains("second"));
    }

    /** Guards against a blocked output that blocks the event loop and so all requests. */
    @Test
    @Timeout(60)
    void testLinesBeyondQueueCapacityAreDroppedAndCounted() throws InterruptedException {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch released = new CountDownLatch(1);
        LogWriter writer =
                startWriter(
                        new OutputStream() {
                            @Override
                            public void write(int value) {
                                throw new UnsupportedOperationException();
                            }

                            @Override
                            public void write(byte[] bytes, int offset, int length) {
                                blocked.countDown();
                                awaitQuietly(released);
                                written.write(bytes, offset, length);
                            }
                        });
        writer.write("first\n");
        blocked.await();
        for (int line = 0; line < LogWriter.QUEUE_CAPACITY + 3; line++) {
            writer.write("later\n");
        }
        released.countDown();
        writer.stop();
        assertThat(text().lines()).hasSize(1 + LogWriter.QUEUE_CAPACITY + 1);
        assertThat(text()).contains("\"event\":\"log-lines-dropped\",\"lines\":3");
    }

    private static LogWriter startWriter(OutputStream out) {
        LogWriter writer = new LogWriter(new PrintStream(out, false, StandardCharsets.UTF_8));
        writer.start();
        return writer;
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private String text() {
        return written.toString(StandardCharsets.UTF_8);
    }
}
