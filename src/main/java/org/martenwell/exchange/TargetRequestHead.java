package org.martenwell.exchange;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A request to a target.
 *
 * @param method The method.
 * @param target The request target.
 * @param headers The headers, without those that frame the body.
 * @param body The whole body.
 */
public record TargetRequestHead(HttpMethod method, String target, HttpHeaders headers, Body body) {}
