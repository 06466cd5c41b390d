package org.martenwell.observe;

import java.nio.charset.StandardCharsets;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.Appender;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.AppenderRef;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.DefaultConfiguration;
import org.apache.logging.log4j.core.config.LoggerConfig;
import org.apache.logging.log4j.core.layout.PatternLayout;

/**
 * Where a process logs and in which form: a JSON object a line. It is set up by code, because
 * reading it from a file took a quarter of the processor time of a gateway's start (0.55 against
 * 0.34 s for a process that does nothing but log one line).
 */
public final class LogConfiguration extends DefaultConfiguration {

    /** The property that overrides how much the program logs. */
    private static final String LEVEL_PROPERTY = "martenwell.log.level";

    /** The packages of the program; its lines are maps. Those of libraries are texts. */
    private static final String PROGRAM = "org.martenwell";

    /** The fields of every line, open for more. */
    private static final String BEGINNING =
            "{\"time\":\"%d{yyyy-MM-dd'T'HH:mm:ss.SSS'Z'}{UTC}\",\"level\":\"%p\",\"logger\":\"%c\",";

    /** The end of every line: the kind and message of an exception, if there is one. */
    private static final String ENDING = "%notEmpty{,\"exception\":\"%enc{%ex{1}}{JSON}\"}}%n";

    /** The form of the program's own lines. */
    static final String OWN_LINE = BEGINNING + "\"data\":%m{JSON}" + ENDING;

    /** The form of libraries' lines. */
    static final String LIBRARY_LINE =
            BEGINNING + "\"data\":{\"text\":\"%enc{%m}{JSON}\"}" + ENDING;

    /** How many lines wait for a slow output before more are dropped. */
    private static final int WAITING_LINES = 2_048;

    /** Where lines go. */
    private final ConsoleAppender.Target target;

    /** How much the program logs. */
    private final Level level;

    /**
     * Creates a configuration.
     *
     * @param target Where lines go.
     * @param level How much the program logs.
     */
    LogConfiguration(ConsoleAppender.Target target, Level level) {
        this.target = target;
        this.level = level;
    }

    /**
     * Puts a configuration in force. Must come before anything logs.
     *
     * @param target Where lines go.
     * @param usual How much the program logs unless a property says otherwise.
     */
    public static void install(ConsoleAppender.Target target, Level usual) {
        Level level = Level.toLevel(System.getProperty(LEVEL_PROPERTY), usual);
        Configurator.initialize(
                LogConfiguration.class.getClassLoader(), new LogConfiguration(target, level));
    }

    @Override
    protected void doConfigure() {
        LoggerConfig program = new LoggerConfig(PROGRAM, level, false);
        program.addAppender(bounded("own", OWN_LINE), null, null);
        addLogger(PROGRAM, program);
        getRootLogger().addAppender(bounded("libraries", LIBRARY_LINE), null, null);
        getRootLogger().setLevel(Level.ERROR);
    }

    /**
     * Creates an output that drops lines rather than hold anybody up while it is full.
     *
     * @param name The output's name.
     * @param pattern The form of a line.
     * @return The output, which starts with the configuration.
     */
    private Appender bounded(String name, String pattern) {
        addAppender(console(name, pattern));
        AsyncAppender bounded =
                AsyncAppender.newBuilder()
                        .setName("bounded-" + name)
                        .setBufferSize(WAITING_LINES)
                        .setBlocking(false)
                        .setConfiguration(this)
                        .setAppenderRefs(
                                new AppenderRef[] {AppenderRef.createAppenderRef(name, null, null)})
                        .build();
        addAppender(bounded);
        return bounded;
    }

    /**
     * Creates an output to the console.
     *
     * @param name The output's name.
     * @param pattern The form of a line.
     * @return The output, which starts with the configuration.
     */
    private Appender console(String name, String pattern) {
        return ConsoleAppender.newBuilder()
                .setTarget(target)
                .setName(name)
                .setLayout(layout(pattern))
                .setConfiguration(this)
                .build();
    }

    /**
     * Creates the layout of lines.
     *
     * @param pattern The form of a line.
     * @return The layout.
     */
    PatternLayout layout(String pattern) {
        return PatternLayout.newBuilder()
                .setPattern(pattern)
                .setCharset(StandardCharsets.UTF_8)
                .setAlwaysWriteExceptions(false)
                .setConfiguration(this)
                .build();
    }
}
