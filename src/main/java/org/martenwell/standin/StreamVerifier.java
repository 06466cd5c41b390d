package org.martenwell.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Splitter;
import java.nio.charset.StandardCharsets;
import org.martenwell.json.Json;
import org.martenwell.stream.EventBatch;
import org.martenwell.stream.EventSplitter;

/** Verifies that the stream of a simulated engine contains each token exactly once and in order. */
final class StreamVerifier {

    /** Splits the stream at the boundaries of events. */
    private final EventSplitter splitter = new EventSplitter();

    private final StringBuilder text = new StringBuilder();

    private int tokens;

    private boolean ended;

    /** {@code true} once a token was missing, repeated or out of order. */
    private boolean wrong;

    private String error = "";

    /** Creates a verifier at the start of a stream. */
    StreamVerifier() {}

    /**
     * Processes the next bytes of the stream.
     *
     * @param bytes The bytes, split at any position.
     * @return The number of tokens that became complete.
     */
    int receive(byte[] bytes) {
        int before = tokens;
        EventBatch batch = splitter.receive(bytes);
        String events = new String(batch.bytes().array(), StandardCharsets.UTF_8);
        for (String line : Splitter.on('\n').split(events)) {
            if (line.startsWith("data: {")) {
                verifyEvent(Json.read(line.substring(6).getBytes(StandardCharsets.UTF_8)));
            }
        }
        ended = ended || batch.ended();
        return tokens - before;
    }

    /** {@return {@code true} if the stream was complete and correct} */
    boolean complete() {
        return ended && !wrong && error.isEmpty();
    }

    /** {@return {@code true} if a token was missing, repeated or out of order} */
    boolean isWrong() {
        return wrong;
    }

    /** {@return the code of an error event, or an empty string} */
    String error() {
        return error;
    }

    /** {@return the text received so far} */
    String text() {
        return text.toString();
    }

    private void verifyEvent(JsonNode root) {
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
