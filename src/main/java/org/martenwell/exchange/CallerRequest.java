package org.martenwell.exchange;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A whole request of a caller.
 *
 * @param method The method.
 * @param target The request target as the caller sent it.
 * @param headers The headers as the caller sent them.
 * @param body The whole body, empty if there is none.
 * @param arrivedMillis When its first byte arrived, on the loop's clock in milliseconds.
 */
public record CallerRequest(
        HttpMethod method, String target, HttpHeaders headers, Body body, long arrivedMillis) {

    /**
     * Returns the path.
     *
     * @return The request target up to its query.
     */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
