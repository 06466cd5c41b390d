package org.martenwell.gateway;

/**
 * What an answer says of the target that made it, besides its answer.
 *
 * @param leaving Whether the target is about to end and takes no new work.
 * @param restMillis For how long the target wants nothing from this gateway, in milliseconds, or 0.
 */
public record AnswerNotice(boolean leaving, long restMillis) {}
