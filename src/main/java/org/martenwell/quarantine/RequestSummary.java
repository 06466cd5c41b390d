package org.martenwell.quarantine;

/**
 * Description of a request for operators. It omits the query and the body, which may hold private
 * data.
 *
 * @param method The HTTP method.
 * @param host The host of the request's route.
 * @param path The path without the query.
 * @param organisation The caller's organisation, empty on routes without API keys.
 * @param part The id of the prompt part that is described, of which the rest is an example; empty
 *     for a request as a whole.
 */
public record RequestSummary(
        String method, String host, String path, String organisation, String part) {

    /**
     * Describes a request as a whole.
     *
     * @param method The HTTP method.
     * @param host The host of the request's route.
     * @param path The path without the query.
     * @param organisation The caller's organisation, empty on routes without API keys.
     * @return The description.
     */
    public static RequestSummary of(String method, String host, String path, String organisation) {
        return new RequestSummary(method, host, path, organisation, "");
    }

    /**
     * Describes a prompt part of the request.
     *
     * @param id The part's id.
     * @return The description.
     */
    public RequestSummary withPart(String id) {
        return new RequestSummary(method, host, path, organisation, id);
    }
}
