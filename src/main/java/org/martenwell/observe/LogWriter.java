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
 * Writes lines by a thread of its own, so that a slow output holds nobody up. While it is full,
 * lines are dropped, and a line tells how many once there is room.
 */
final class LogWriter {

    /** How many lines wait for a slow output before more are dropped. */
    static final int WAITING_LINES = 2_048;

    /** How long a stop waits for lines that are still to be written, in milliseconds. */
    private static final long STOP_MILLIS = 500;

    /** A line that only wakes the thread. */
    private static final String NOTHING = "";

    /** Where lines go. */
    private final PrintStream out;

    /** The lines that are still to be written. */
    private final BlockingQueue<String> waiting = new ArrayBlockingQueue<>(WAITING_LINES);

    /** How many lines were dropped since that was last told. */
    private final AtomicLong dropped = new AtomicLong();

    /** Whether the thread ends once nothing waits. */
    private volatile boolean stopping;

    /** Writes the lines. */
    private final Thread thread = new Thread(this::run, "log-writer");

    /**
     * Creates a writer.
     *
     * @param out Where lines go.
     */
    LogWriter(PrintStream out) {
        this.out = out;
        thread.setDaemon(true);
    }

    /** Starts to write lines. */
    void start() {
        thread.start();
    }

    /**
     * Writes a line soon, or drops it if too many wait.
     *
     * @param line The line with its line end.
     */
    void write(String line) {
        if (!waiting.offer(line)) {
            dropped.incrementAndGet();
        }
    }

    /** Writes what waits and ends. Lines that come later are not written. */
    void stop() {
        stopping = true;
        waiting.offer(NOTHING);
        try {
            thread.join(STOP_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes lines until the writer stops and nothing waits. */
    private void run() {
        try {
            List<String> lines = new ArrayList<>();
            do {
                lines.clear();
                lines.add(waiting.take());
                waiting.drainTo(lines);
                writeAll(lines);
            } while (!stopping || !waiting.isEmpty());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Writes lines at once.
     *
     * @param lines The lines.
     */
    private void writeAll(List<String> lines) {
        String text = String.join("", lines) + toldDropped();
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.write(bytes, 0, bytes.length);
        out.flush();
    }

    /**
     * Tells how many lines were dropped.
     *
     * @return A line or an empty text if there were none.
     */
    private String toldDropped() {
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
