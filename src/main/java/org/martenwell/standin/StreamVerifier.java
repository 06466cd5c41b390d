package org.martenwell.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Splitter;
import java.nio.charset.StandardCharsets;
import org.martenwell.json.Json;
import org.martenwell.stream.EventBatch;
import org.martenwell.stream.EventSplitter;

/** Reads the stream of a stand-in engine and checks that each token comes once and in order. */
final class StreamVerifier {

    /** Cuts the stream behind whole events. */
    private final EventSplitter splitter = new EventSplitter();

    /** The text so far. */
    private final StringBuilder text = new StringBuilder();

    /** The tokens so far. */
    private int tokens;

    /** {@code true} once the end marker arrived. */
    private boolean ended;

    /** {@code true} once an event arrived that should not have. */
    private boolean wrong;

    /** The code of the error event, or an empty string. */
    private String error = "";

    /** Creates a verifier at the start of a stream. */
    StreamVerifier() {}

    /**
     * Takes in bytes.
     *
     * @param bytes The bytes.
     * @return How many tokens came with them.
     */
    int receive(byte[] bytes) {
        int before = tokens;
        EventBatch batch = splitter.receive(bytes);
        String events = new String(batch.bytes().array(), StandardCharsets.UTF_8);
        for (String line : Splitter.on('\n').split(events)) {
            if (line.startsWith("data: {")) {
                event(Json.read(line.substring(6).getBytes(StandardCharsets.UTF_8)));
            }
        }
        ended = ended || batch.ended();
        return tokens - before;
    }

    /**
     * Returns whether the stream was whole and right.
     *
     * @return {@code true} if so.
     */
    boolean complete() {
        return ended && !wrong && error.isEmpty();
    }

    /**
     * Returns whether a token came twice, late or not at all.
     *
     * @return {@code true} if so.
     */
    boolean isWrong() {
        return wrong;
    }

    /**
     * Returns the code of the error event.
     *
     * @return The code or an empty string.
     */
    String error() {
        return error;
    }

    /**
     * Returns the text.
     *
     * @return The text so far.
     */
    String text() {
        return text.toString();
    }

    /**
     * Checks one event.
     *
     * @param root The event.
     */
    private void event(JsonNode root) {
        if (root.has("error")) {
            error = root.path("error").path("code").asText();
            return;
        }
        JsonNode choice = root.path("choices").path(0);
        String content = choice.path("delta").path("content").asText(choice.path("text").asText());
        if (!content.isEmpty()) {
            wrong = wrong || !content.startsWith("t" + tokens + "-");
            tokens++;
            text.append(content);
        }
    }
}
