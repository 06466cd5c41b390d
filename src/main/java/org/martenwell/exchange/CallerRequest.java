package org.martenwell.exchange;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A complete request of a caller.
 *
 * @param method The method.
 * @param target The request target with its query as received, in visible ASCII unless a gateway of
 *     an earlier build has offloaded the request.
 * @param headers The headers as received.
 * @param body The complete body, empty if there is none.
 * @param arrivedMillis The arrival of the first byte on the event loop's clock, in milliseconds.
 */
public record CallerRequest(
        HttpMethod method, String target, HttpHeaders headers, Body body, long arrivedMillis) {

    /** {@return the request target without its query} */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
