package org.martenwell.demo;

import java.util.Map;

/**
 * The numbers of a whole fleet at one moment, all since the start.
 *
 * @param atMillis The moment.
 * @param peerBytes The bytes that routers sent to each other.
 * @param peerBytesByKind The same by kind of message, without what frames add.
 * @param produced The tokens that engines produced.
 * @param possible The tokens that engines could have produced.
 * @param platformCalls The calls to the platform.
 */
public record FleetSample(
        long atMillis,
        long peerBytes,
        Map<String, Long> peerBytesByKind,
        long produced,
        long possible,
        long platformCalls) {}
