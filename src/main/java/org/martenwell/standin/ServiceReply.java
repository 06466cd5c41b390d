package org.martenwell.standin;

/**
 * The answer of a stand-in plain service.
 *
 * @param target The target that answered.
 * @param request The request as it arrived.
 */
record ServiceReply(String target, String request) {}
