package org.martenwell.gateway;

import org.martenwell.exchange.ResponseMatch;

/** The reasons for which a response of a target is given to no request. */
enum DiscardCause {

    /** The response names another request than the one that awaits its response. */
    OTHER_REQUEST,

    /** The response names no request, and its connection has carried several. */
    UNIDENTIFIED,

    /** No request awaits a response on the connection. */
    UNREQUESTED;

    /**
     * Returns the reason for which a response is not given to the request that awaits one.
     *
     * @param match What the response says of that request.
     * @return The reason.
     */
    static DiscardCause of(ResponseMatch match) {
        return match == ResponseMatch.UNIDENTIFIED ? UNIDENTIFIED : OTHER_REQUEST;
    }
}
