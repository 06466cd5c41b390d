package org.martenwell.exchange;

/**
 * A whole answer to a call of this program's own.
 *
 * @param status The status.
 * @param body The body.
 */
public record HttpReply(int status, Body body) {}
