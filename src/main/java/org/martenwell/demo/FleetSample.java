package org.martenwell.demo;

import java.util.Map;

/**
 * The counters of a fleet since its start, at one point in time.
 *
 * @param atMillis The time of the sample, in milliseconds since the epoch.
 * @param peerBytes The bytes that routers sent to each other, including framing.
 * @param peerBytesByType The bytes that routers sent to each other by message type, without
 *     framing.
 * @param produced The number of tokens that engines generated.
 * @param possible The number of tokens that fully used engines would have generated.
 * @param platformCalls The number of calls to the platform.
 */
public record FleetSample(
        long atMillis,
        long peerBytes,
        Map<String, Long> peerBytesByType,
        long produced,
        long possible,
        long platformCalls) {}
