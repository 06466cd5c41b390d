package org.martenwell.gateway;

/**
 * The age of what a gateway knows of its fleet, for the log.
 *
 * @param storeMillis The time since the directory last answered, in milliseconds.
 * @param peersMillis The time since the last report of any peer, or since the start if there was
 *     none, in milliseconds.
 * @param reportedVersion The newest version of the configuration that a peer reported, 0 if none.
 */
record InformationAge(long storeMillis, long peersMillis, long reportedVersion) {}
