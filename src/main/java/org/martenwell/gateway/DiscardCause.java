package org.martenwell.gateway;

/** The reasons for which a response of a target is given to no request. */
enum DiscardCause {

    /** The response names another request than the one that awaits its response. */
    OTHER_REQUEST,

    /** No request awaits a response on the connection. */
    UNREQUESTED
}
