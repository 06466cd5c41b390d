package org.martenwell.standin;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.martenwell.json.Json;

/** Serializes the responses of an engine stand-in in the format of the OpenAI API. */
final class CompletionSerializer {

    /** The number of prompt bytes counted as one token. */
    private static final int BYTES_PER_TOKEN = 4;

    private static final String DONE_EVENT = "data: [DONE]\n\n";

    private final boolean chat;

    private final String id;

    private final String model;

    /** The creation time, in seconds since the epoch. */
    private final long created;

    /**
     * Creates a serializer for the response to one request.
     *
     * @param chat {@code true} for chat completions, {@code false} for text completions.
     * @param id The id of the completion.
     * @param model The name of the model.
     * @param created The creation time, in seconds since the epoch.
     */
    CompletionSerializer(boolean chat, String id, String model, long created) {
        this.chat = chat;
        this.id = id;
        this.model = model;
        this.created = created;
    }

    /**
     * Serializes the event of one token.
     *
     * @param index The index of the token, also the id of the event.
     * @param token The text of the token.
     * @return The event, encoded in UTF-8.
     */
    byte[] event(int index, String token) {
        return event(index, choice(token, true, Optional.empty()));
    }

    /**
     * Serializes the events at the end of a stream.
     *
     * @param index The number of tokens sent, also the id of the last event.
     * @return The events, encoded in UTF-8.
     */
    byte[] end(int index) {
        byte[] last = event(index, choice("", true, Optional.of("stop")));
        byte[] end = DONE_EVENT.getBytes(StandardCharsets.UTF_8);
        byte[] both = Arrays.copyOf(last, last.length + end.length);
        System.arraycopy(end, 0, both, last.length, end.length);
        return both;
    }

    /**
     * Serializes a complete response.
     *
     * @param generation The finished generation.
     * @param promptBytes The size of the request body, in bytes.
     * @return The response body, encoded in UTF-8.
     */
    byte[] response(Generation generation, int promptBytes) {
        int prompt = promptBytes / BYTES_PER_TOKEN;
        int count = generation.tokens().size();
        return Json.write(
                new CompletionChunk(
                        id,
                        chat ? "chat.completion" : "text_completion",
                        created,
                        model,
                        List.of(choice(generation.text(), false, Optional.of("stop"))),
                        Optional.of(new CompletionUsage(prompt, count, prompt + count))));
    }

    private byte[] event(int index, CompletionChoice choice) {
        CompletionChunk chunk =
                new CompletionChunk(
                        id,
                        chat ? "chat.completion.chunk" : "text_completion",
                        created,
                        model,
                        List.of(choice),
                        Optional.empty());
        String json = new String(Json.write(chunk), StandardCharsets.UTF_8);
        return ("id: " + index + "\ndata: " + json + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    private CompletionChoice choice(String content, boolean streamed, Optional<String> finish) {
        if (!chat) {
            return new CompletionChoice(
                    0, Optional.empty(), Optional.empty(), Optional.of(content), finish);
        }
        Optional<CompletionMessage> message =
                Optional.of(new CompletionMessage("assistant", content));
        return new CompletionChoice(
                0,
                streamed ? message : Optional.empty(),
                streamed ? Optional.empty() : message,
                Optional.empty(),
                finish);
    }
}
