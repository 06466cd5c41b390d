package org.martenwell.quarantine;

/**
 * Description of a request for operators. It omits the query and the body, which may hold private
 * data.
 *
 * @param method The HTTP method.
 * @param host The host of the request's route.
 * @param path The path without the query.
 * @param organisation The caller's organisation, empty on routes without API keys.
 */
public record RequestSummary(String method, String host, String path, String organisation) {}
