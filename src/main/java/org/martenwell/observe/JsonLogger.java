package org.martenwell.observe;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.Marker;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.message.MessageFactory;
import org.apache.logging.log4j.simple.SimpleLogger;
import org.apache.logging.log4j.util.PropertiesUtil;

/**
 * Logger that queues its lines at a {@link LogWriter}. Events are formatted on the thread that logs
 * them, so that later changes of logged objects don't appear in the log.
 */
final class JsonLogger extends SimpleLogger {

    private static final long serialVersionUID = 1L;

    private final transient LogWriter writer;

    /**
     * Creates a logger.
     *
     * @param name The logger's name.
     * @param level The least severe level that is written.
     * @param messages The factory of messages for events that are logged as text.
     * @param writer The writer of the formatted lines.
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
