package org.martenwell.prompt;

/**
 * A part of a prompt.
 *
 * @param id The id, equal in all requests that share the part.
 * @param tokens The size in tokens.
 */
public record PromptPart(String id, long tokens) {}
