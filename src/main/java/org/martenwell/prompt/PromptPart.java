package org.martenwell.prompt;

/**
 * A part of a prompt.
 *
 * @param id The id, the same for all requests that share the part.
 * @param tokens Its size in tokens.
 */
public record PromptPart(String id, long tokens) {}
