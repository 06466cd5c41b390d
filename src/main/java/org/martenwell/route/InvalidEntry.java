package org.martenwell.route;

/**
 * A part of a configuration that is not in force, while the rest of it is.
 *
 * @param pointer The part's position in the document, as a JSON Pointer (RFC 6901).
 * @param reason A description of the error, for the log.
 */
public record InvalidEntry(String pointer, String reason) {}
