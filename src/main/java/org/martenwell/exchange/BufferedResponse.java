package org.martenwell.exchange;

/**
 * A complete response to one of this program's own requests.
 *
 * @param status The status code.
 * @param body The complete body, empty if there is none.
 */
public record BufferedResponse(int status, Body body) {}
