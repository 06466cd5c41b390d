package org.martenwell.standin;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.martenwell.json.Json;

/** Writes answers in the OpenAI form. */
final class CompletionForms {

    /** How many bytes of a prompt make a token. */
    private static final int BYTES_PER_TOKEN = 4;

    /** The event that ends a stream. */
    private static final String END = "data: [DONE]\n\n";

    /** {@code true} for chats, {@code false} for plain completions. */
    private final boolean chat;

    /** The answer's id. */
    private final String id;

    /** The model. */
    private final String model;

    /** When the answer was created, in seconds. */
    private final long created;

    /**
     * Creates forms for one answer.
     *
     * @param chat {@code true} for chats, {@code false} for plain completions.
     * @param id The answer's id.
     * @param model The model.
     * @param created When the answer was created, in seconds.
     */
    CompletionForms(boolean chat, String id, String model, long created) {
        this.chat = chat;
        this.id = id;
        this.model = model;
        this.created = created;
    }

    /**
     * Writes the event of one token.
     *
     * @param index The token's index.
     * @param token The token.
     * @return The event in UTF-8.
     */
    byte[] event(int index, String token) {
        return event(index, choice(token, true, Optional.empty()));
    }

    /**
     * Writes the events that end a stream.
     *
     * @param index The number of tokens.
     * @return The events in UTF-8.
     */
    byte[] end(int index) {
        byte[] last = event(index, choice("", true, Optional.of("stop")));
        byte[] end = END.getBytes(StandardCharsets.UTF_8);
        byte[] both = Arrays.copyOf(last, last.length + end.length);
        System.arraycopy(end, 0, both, last.length, end.length);
        return both;
    }

    /**
     * Writes a whole answer.
     *
     * @param generation The request.
     * @param promptBytes The size of the prompt, in bytes.
     * @return The answer in UTF-8.
     */
    byte[] whole(Generation generation, int promptBytes) {
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

    /**
     * Writes one event.
     *
     * @param index The event's number.
     * @param choice The choice.
     * @return The event in UTF-8.
     */
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

    /**
     * Builds a choice.
     *
     * @param content The text.
     * @param piece {@code true} for a piece, {@code false} for a whole answer.
     * @param finish Why it ended.
     * @return The choice.
     */
    private CompletionChoice choice(String content, boolean piece, Optional<String> finish) {
        if (!chat) {
            return new CompletionChoice(
                    0, Optional.empty(), Optional.empty(), Optional.of(content), finish);
        }
        Optional<CompletionMessage> message =
                Optional.of(new CompletionMessage("assistant", content));
        return new CompletionChoice(
                0,
                piece ? message : Optional.empty(),
                piece ? Optional.empty() : message,
                Optional.empty(),
                finish);
    }
}
