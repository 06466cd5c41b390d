package org.martenwell.standin;

/**
 * A message of a chat, or a piece of one.
 *
 * @param role Who speaks.
 * @param content The text.
 */
record CompletionMessage(String role, String content) {}
