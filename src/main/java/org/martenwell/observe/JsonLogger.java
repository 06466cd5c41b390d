package org.martenwell.observe;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.Marker;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.message.MessageFactory;
import org.apache.logging.log4j.simple.SimpleLogger;
import org.apache.logging.log4j.util.PropertiesUtil;

/**
 * A logger that hands its lines to a {@link LogWriter}. They are formed by the thread that logs, so
 * that later changes of what is logged don't show.
 */
final class JsonLogger extends SimpleLogger {

    private static final long serialVersionUID = 1L;

    /** Writes the lines. */
    private final transient LogWriter writer;

    /**
     * Creates a logger.
     *
     * @param name The logger's name.
     * @param level How much it writes.
     * @param messages Creates messages from texts.
     * @param writer Writes the lines.
     */
    JsonLogger(String name, Level level, MessageFactory messages, LogWriter writer) {
        super(
                name,
                level,
                false,
                false,
                false,
                false,
                "",
                messages,
                PropertiesUtil.getProperties(),
                System.err);
        this.writer = writer;
        setLevel(level);
    }

    @Override
    public void logMessage(
            String caller, Level level, Marker marker, Message message, Throwable thrown) {
        writer.write(
                JsonLine.of(System.currentTimeMillis(), level, getName(), message)
                        .withException(thrown)
                        .text());
    }
}
