package org.martenwell.gateway;

/**
 * What was known when the search for the version of a stream ended.
 *
 * @param versions The versions of the service that were listed of late, 0 if the route leads to
 *     several services.
 * @param coveredMillis The time for which all listed versions are known, in milliseconds, negative
 *     if none are.
 * @param peersAsked The peers that were asked.
 * @param peersAnswered The peers that answered, with a version or without.
 * @param waitedMillis The time that the search took, in milliseconds.
 */
record LookupFacts(
        int versions, long coveredMillis, int peersAsked, int peersAnswered, long waitedMillis) {}
