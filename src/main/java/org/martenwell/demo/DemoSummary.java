package org.martenwell.demo;

import java.util.Map;

/**
 * The measurements of a demonstration.
 *
 * @param routers The number of routers.
 * @param seconds The duration of the measurement, in seconds.
 * @param requests The number of requests sent.
 * @param complete The number of complete and correct responses.
 * @param wrongAnswers The number of incorrect responses, such as streams with missing or repeated
 *     tokens.
 * @param refusals The number of error responses and failures, by code.
 * @param utilisation The ratio of tokens generated to the capacity of the engines, 0 to 1.
 * @param fairnessGapTokens The largest difference in delivered tokens between two backlogged
 *     organisations, over all samples since the warm-up.
 * @param controlBytesPerRouterSecond The bytes per second that each router sent to its peers.
 * @param controlBytesByKind The bytes that all routers sent to peers by message type, without
 *     framing.
 * @param platformCallsPerSecond The calls to the platform per second.
 * @param firstTokenMillis The time to first token of organisations without backlog in milliseconds,
 *     by percentile.
 * @param backloggedFirstTokenMillis The time to first token of backlogged organisations in
 *     milliseconds, by percentile.
 * @param tokens The number of tokens delivered, by organisation.
 */
public record DemoSummary(
        int routers,
        double seconds,
        long requests,
        long complete,
        long wrongAnswers,
        Map<String, Long> refusals,
        double utilisation,
        long fairnessGapTokens,
        double controlBytesPerRouterSecond,
        Map<String, Long> controlBytesByKind,
        double platformCallsPerSecond,
        Map<String, Long> firstTokenMillis,
        Map<String, Long> backloggedFirstTokenMillis,
        Map<String, Long> tokens) {}
