package org.martenwell.observe;

import org.apache.logging.log4j.Level;

/**
 * Log settings of a process. The back end of the Log4j API is {@link JsonLoggerContext} rather than
 * Log4j Core, whose plugins, patterns and date formats take 0.33 of the 0.80 s of processor time of
 * a start.
 *
 * @param target The output of all log lines.
 * @param level The level of the program's own loggers; those of libraries log errors only.
 */
public record LogConfiguration(LogTarget target, Level level) {

    /** System property that overrides the level of the program. */
    private static final String LEVEL_PROPERTY = "martenwell.log.level";

    /** Prefix of the names of the program's own loggers. */
    private static final String LOGGER_PREFIX = "org.martenwell";

    /** Settings until {@link #install} is called. */
    private static final LogConfiguration DEFAULT =
            new LogConfiguration(LogTarget.SYSTEM_ERR, Level.ERROR);

    private static volatile LogConfiguration current = DEFAULT;

    /**
     * Sets the configuration of this process. Loggers that exist already are not changed, so this
     * must be called before the first one is created.
     *
     * @param target The output of all log lines.
     * @param defaultLevel The level of the program's loggers if the system property is absent or
     *     invalid.
     */
    public static void install(LogTarget target, Level defaultLevel) {
        Level level = Level.toLevel(System.getProperty(LEVEL_PROPERTY), defaultLevel);
        current = new LogConfiguration(target, level);
    }

    /**
     * Returns the configuration that was installed last, or the default one.
     *
     * @return The configuration.
     */
    static LogConfiguration current() {
        return current;
    }

    /**
     * Returns the level of a logger.
     *
     * @param logger The logger's name.
     * @return The least severe level that the logger writes.
     */
    Level level(String logger) {
        return logger.startsWith(LOGGER_PREFIX) ? level : Level.ERROR;
    }
}
