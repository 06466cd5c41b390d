package org.martenwell.observe;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.message.SimpleMessage;
import org.junit.jupiter.api.Test;
import org.martenwell.json.Json;

class JsonLineTest {

    @Test
    void testMapMessageIsFormattedAsFields() {
        Message message =
                LogEvent.of("request-sent")
                        .with("request", "a \"quoted\" id")
                        .with("attempt", 2)
                        .with("copy", true)
                        .with("names", List.of("a", "b"))
                        .message();
        JsonNode line = line(message, null);
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

    /** Operators look for organisations by their names. */
    @Test
    void testNamesOutsideAsciiAreWrittenAsTheyAre() {
        List<String> names =
                List.of(
                        "\u0644\u0627\u06c1\u0648\u0631",
                        "M\u00fcnchen",
                        "\ud83d\ude00",
                        "a\u0085");
        JsonNode line = line(LogEvent.of("refusals").with("names", names).message(), null);
        for (int index = 0; index < names.size(); index++) {
            assertThat(line.path("data").path("names").get(index).asText())
                    .isEqualTo(names.get(index));
        }
    }

    @Test
    void testTextMessageIsFormattedWithException() {
        JsonNode line =
                line(
                        new SimpleMessage("a \"text\"\nof two lines"),
                        new IllegalStateException("some \"reason\""));
        assertThat(line.path("data").path("text").asText()).isEqualTo("a \"text\"\nof two lines");
        assertThat(line.path("exception").asText())
                .startsWith("java.lang.IllegalStateException: some \"reason\"");
    }

    @Test
    void testMapMessageIsFormattedWithException() {
        JsonNode line = line(LogEvent.of("defect").message(), new IllegalStateException("reason"));
        assertThat(line.path("exception").asText())
                .startsWith("java.lang.IllegalStateException: reason");
    }

    @Test
    void testTimeIsPaddedToFullPrecision() {
        String text =
                JsonLine.of(1_796_246_400_009L, Level.INFO, "x", new SimpleMessage("")).text();
        assertThat(text).startsWith("{\"time\":\"2026-12-02T21:20:00.009Z\"");
    }

    private static JsonNode line(Message message, Throwable thrown) {
        String text =
                JsonLine.of(1_234, Level.INFO, "org.martenwell.X", message)
                        .withException(thrown)
                        .text();
        assertThat(text).endsWith("}" + System.lineSeparator());
        return Json.read(text.getBytes(StandardCharsets.UTF_8));
    }
}
