package org.martenwell.demo;

import java.util.Map;

/**
 * What a demonstration measured.
 *
 * @param routers How many routers there were.
 * @param seconds How long was measured, in seconds.
 * @param requests The requests sent.
 * @param complete The answers that arrived whole.
 * @param wrongAnswers The answers that were not what they had to be.
 * @param refusals The refusals and failures by code.
 * @param utilisation The share of the engines' slots in use.
 * @param fairnessGapTokens The largest difference in tokens delivered since the warm-up between two
 *     organisations that always had work waiting, over all moments looked at.
 * @param controlBytesPerRouterSecond The bytes that a router sent to peers a second.
 * @param controlBytesByKind The bytes that all routers sent to peers, by kind of message, without
 *     what frames add.
 * @param platformCallsPerSecond The calls to the platform a second.
 * @param firstTokenMillis The times to the first token of organisations without backlog, by
 *     percentile, in milliseconds.
 * @param backloggedFirstTokenMillis The same of organisations with backlog.
 * @param tokens The tokens delivered by organisation.
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
