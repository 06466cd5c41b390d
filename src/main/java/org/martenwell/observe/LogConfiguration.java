package org.martenwell.observe;

import org.apache.logging.log4j.Level;

/**
 * Where a process logs and how much. Lines go through Log4j's API to {@link JsonLoggerContext},
 * because a start with Log4j's own back end spent 0.33 of 0.80 s of processor time on its plugins,
 * patterns and dates (median of five starts, class archive in use).
 *
 * @param target Where lines go.
 * @param level How much the program logs. Libraries log errors only.
 */
public record LogConfiguration(LogTarget target, Level level) {

    /** The property that overrides how much the program logs. */
    private static final String LEVEL_PROPERTY = "martenwell.log.level";

    /** The packages of the program. */
    private static final String PROGRAM = "org.martenwell";

    /** What is in force until something else is put in force. */
    private static final LogConfiguration DEFAULT =
            new LogConfiguration(LogTarget.SYSTEM_ERR, Level.ERROR);

    /** What is in force. */
    private static volatile LogConfiguration present = DEFAULT;

    /**
     * Puts a configuration in force. Must come before anything logs.
     *
     * @param target Where lines go.
     * @param usual How much the program logs unless a property says otherwise.
     */
    public static void install(LogTarget target, Level usual) {
        Level level = Level.toLevel(System.getProperty(LEVEL_PROPERTY), usual);
        present = new LogConfiguration(target, level);
    }

    /**
     * Returns what is in force.
     *
     * @return The configuration.
     */
    static LogConfiguration present() {
        return present;
    }

    /**
     * Returns how much a logger writes.
     *
     * @param logger The logger's name.
     * @return The level.
     */
    Level level(String logger) {
        return logger.startsWith(PROGRAM) ? level : Level.ERROR;
    }
}
