package org.martenwell.observe;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.Level;

/**
 * Asynchronous writer of log lines, so that a slow output never blocks the threads that log. Lines
 * are dropped while the queue is full; their number is logged with the next lines that are written.
 */
final class LogWriter {

    /** Capacity of the queue, in lines. */
    static final int QUEUE_CAPACITY = 2_048;

    /** Time that {@link #stop} waits for the remaining lines, in milliseconds. */
    private static final long STOP_TIMEOUT_MILLIS = 500;

    /** Empty line that wakes the writer thread, so that it checks {@link #stopping}. */
    private static final String WAKE_UP = "";

    private final PrintStream out;

    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);

    /** Number of lines dropped since the last report of dropped lines. */
    private final AtomicLong dropped = new AtomicLong();

    /** Set once the thread must end as soon as the queue is empty. */
    private volatile boolean stopping;

    private final Thread thread = new Thread(this::run, "log-writer");

    /**
     * Creates a writer, which queues lines until it is started.
     *
     * @param out The output, flushed after each batch of lines and never closed.
     */
    LogWriter(PrintStream out) {
        this.out = out;
        thread.setDaemon(true);
    }

    /** Starts the writer's daemon thread. May be called once. */
    void start() {
        thread.start();
    }

    /**
     * Queues a line, or drops it if the queue is full. Never blocks.
     *
     * @param line The line with its line separator.
     */
    void write(String line) {
        if (!queue.offer(line)) {
            dropped.incrementAndGet();
        }
    }

    /** Writes the queued lines and ends the thread. Later lines may be lost. */
    void stop() {
        stopping = true;
        queue.offer(WAKE_UP);
        try {
            thread.join(STOP_TIMEOUT_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes lines in batches until the writer is stopped and the queue is empty. */
    private void run() {
        try {
            List<String> lines = new ArrayList<>();
            do {
                lines.clear();
                lines.add(queue.take());
                queue.drainTo(lines);
                writeAll(lines);
            } while (!stopping || !queue.isEmpty());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes a batch of lines in one call, with the report of dropped lines if there is one. */
    private void writeAll(List<String> lines) {
        String text = String.join("", lines) + droppedReport();
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.write(bytes, 0, bytes.length);
        out.flush();
    }

    /**
     * Returns a log line with the number of dropped lines and resets that number.
     *
     * @return The line, or an empty string if no line was dropped.
     */
    private String droppedReport() {
        long count = dropped.getAndSet(0);
        if (count == 0) {
            return "";
        }
        return JsonLine.of(
                        System.currentTimeMillis(),
                        Level.WARN,
                        LogWriter.class.getName(),
                        LogEvent.of("log-lines-dropped").with("lines", count).message())
                .text();
    }
}
