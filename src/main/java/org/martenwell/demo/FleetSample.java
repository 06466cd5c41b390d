package org.martenwell.demo;

/**
 * The numbers of a whole fleet at one moment, all since the start.
 *
 * @param atMillis The moment.
 * @param peerBytes The bytes that routers sent to each other.
 * @param produced The tokens that engines produced.
 * @param possible The tokens that engines could have produced.
 * @param platformCalls The calls to the platform.
 */
public record FleetSample(
        long atMillis, long peerBytes, long produced, long possible, long platformCalls) {}
