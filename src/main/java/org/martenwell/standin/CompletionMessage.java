package org.martenwell.standin;

/**
 * A chat message, or a part of one in a stream.
 *
 * @param role The role of the author, such as {@code user} or {@code assistant}.
 * @param content The text.
 */
record CompletionMessage(String role, String content) {}
