package org.martenwell.observe;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.logging.log4j.message.MessageFactory;
import org.apache.logging.log4j.message.ParameterizedMessageFactory;
import org.apache.logging.log4j.spi.ExtendedLogger;
import org.apache.logging.log4j.spi.LoggerContext;
import org.apache.logging.log4j.spi.Terminable;

/** Logger context of the Log4j API whose loggers write each event as a line of JSON. */
final class JsonLoggerContext implements LoggerContext, Terminable {

    private final LogConfiguration configuration;

    private final LogWriter writer;

    /** The loggers by name. */
    private final Map<String, ExtendedLogger> loggers = new ConcurrentHashMap<>();

    /**
     * Creates a context.
     *
     * @param configuration The level of each logger.
     * @param writer The writer of all loggers, stopped when the context is terminated.
     */
    JsonLoggerContext(LogConfiguration configuration, LogWriter writer) {
        this.configuration = configuration;
        this.writer = writer;
    }

    /**
     * Creates a context with a running writer, which a shutdown hook flushes and stops.
     *
     * @param configuration The output and the level of each logger.
     * @return The context.
     */
    static JsonLoggerContext of(LogConfiguration configuration) {
        LogWriter writer = new LogWriter(configuration.target().stream());
        writer.start();
        Runtime.getRuntime().addShutdownHook(new Thread(writer::stop, "log-end"));
        return new JsonLoggerContext(configuration, writer);
    }

    @Override
    public void terminate() {
        writer.stop();
    }

    @Override
    public Object getExternalContext() {
        return null;
    }

    @Override
    public ExtendedLogger getLogger(String name) {
        return getLogger(name, ParameterizedMessageFactory.INSTANCE);
    }

    @Override
    public ExtendedLogger getLogger(String name, MessageFactory messages) {
        return loggers.computeIfAbsent(
                name, each -> new JsonLogger(each, configuration.level(each), messages, writer));
    }

    @Override
    public boolean hasLogger(String name) {
        return loggers.containsKey(name);
    }

    @Override
    public boolean hasLogger(String name, Class<? extends MessageFactory> messages) {
        return hasLogger(name);
    }

    @Override
    public boolean hasLogger(String name, MessageFactory messages) {
        return hasLogger(name);
    }
}
