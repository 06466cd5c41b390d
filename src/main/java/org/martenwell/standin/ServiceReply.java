package org.martenwell.standin;

/**
 * The response of a plain service stand-in.
 *
 * @param target The name of the target that responded.
 * @param request The method, path and body size of the request.
 */
record ServiceReply(String target, String request) {}
