package org.martenwell.observe;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.logging.log4j.message.MessageFactory;
import org.apache.logging.log4j.message.ParameterizedMessageFactory;
import org.apache.logging.log4j.spi.ExtendedLogger;
import org.apache.logging.log4j.spi.LoggerContext;
import org.apache.logging.log4j.spi.Terminable;

/** A back end of Log4j's API that writes each line as a JSON object. */
final class JsonLoggerContext implements LoggerContext, Terminable {

    /** Where lines go and how much is logged. */
    private final LogConfiguration configuration;

    /** Writes the lines. */
    private final LogWriter writer;

    /** The loggers by name. */
    private final Map<String, ExtendedLogger> loggers = new ConcurrentHashMap<>();

    /**
     * Creates a back end.
     *
     * @param configuration Where lines go and how much is logged.
     * @param writer Writes the lines.
     */
    JsonLoggerContext(LogConfiguration configuration, LogWriter writer) {
        this.configuration = configuration;
        this.writer = writer;
    }

    /**
     * Creates a back end whose lines are written until the process ends.
     *
     * @param configuration Where lines go and how much is logged.
     * @return The back end.
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
