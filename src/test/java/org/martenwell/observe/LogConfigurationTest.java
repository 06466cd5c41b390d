package org.martenwell.observe;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.impl.Log4jLogEvent;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.message.SimpleMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.martenwell.json.Json;

class LogConfigurationTest {

    private final LogConfiguration configuration =
            new LogConfiguration(ConsoleAppender.Target.SYSTEM_ERR, Level.INFO);

    @Test
    void testLineOfTheProgramIsAnObjectWithItsFields() {
        Message message =
                LogEvent.of("request-sent")
                        .with("request", "a \"quoted\" id")
                        .with("attempt", 2)
                        .with("copy", true)
                        .with("names", List.of("a", "b"))
                        .message();
        JsonNode line = line(LogConfiguration.OWN_LINE, message, null);
        assertThat(line.path("time").asText()).isEqualTo("1970-01-01T00:00:01.234Z");
        assertThat(line.path("level").asText()).isEqualTo("INFO");
        assertThat(line.path("logger").asText()).isEqualTo("org.martenwell.X");
        assertThat(line.path("data").path("event").asText()).isEqualTo("request-sent");
        assertThat(line.path("data").path("request").asText()).isEqualTo("a \"quoted\" id");
        assertThat(line.path("data").path("attempt").asInt()).isEqualTo(2);
        assertThat(line.path("data").path("copy").asBoolean()).isTrue();
        assertThat(line.path("data").path("names").get(1).asText()).isEqualTo("b");
        assertThat(line.has("exception")).isFalse();
    }

    @Test
    void testLineOfALibraryIsAnObjectWithItsTextAndException() {
        JsonNode line =
                line(
                        LogConfiguration.LIBRARY_LINE,
                        new SimpleMessage("a \"text\"\nof two lines"),
                        new IllegalStateException("some \"reason\""));
        assertThat(line.path("data").path("text").asText()).isEqualTo("a \"text\"\nof two lines");
        assertThat(line.path("exception").asText())
                .startsWith("java.lang.IllegalStateException: some \"reason\"");
    }

    @Test
    void testExceptionOfTheProgramIsTold() {
        Message message = LogEvent.of("defect").message();
        JsonNode line =
                line(LogConfiguration.OWN_LINE, message, new IllegalStateException("reason"));
        assertThat(line.path("exception").asText())
                .startsWith("java.lang.IllegalStateException: reason");
    }

    /** Found when the build's gateway did not end: outputs that were started twice never stop. */
    @Test
    @Timeout(60)
    void testLogStopsOnceItsLinesAreWritten() {
        LoggerContext context = new LoggerContext("test");
        context.start(configuration);
        context.getLogger("org.martenwell.X").debug("not written");
        context.stop();
        assertThat(context.isStopped()).isTrue();
    }

    private JsonNode line(String pattern, Message message, Throwable thrown) {
        Log4jLogEvent event =
                Log4jLogEvent.newBuilder()
                        .setLoggerName("org.martenwell.X")
                        .setLevel(Level.INFO)
                        .setMessage(message)
                        .setThrown(thrown)
                        .setTimeMillis(1_234)
                        .build();
        String text = configuration.layout(pattern).toSerializable(event);
        assertThat(text).endsWith("}" + System.lineSeparator());
        return Json.read(text.getBytes(StandardCharsets.UTF_8));
    }
}
