package org.martenwell.exchange;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * An HTTP request that this program sends, with its complete body.
 *
 * @param method The method.
 * @param target The request target with its query, one character per byte.
 * @param headers The headers, without those that frame the body.
 * @param body The complete body, empty if there is none.
 */
public record OutboundRequest(HttpMethod method, String target, HttpHeaders headers, Body body) {}
