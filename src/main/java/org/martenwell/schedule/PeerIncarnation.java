package org.martenwell.schedule;

/**
 * Identifies one run of a router's process.
 *
 * @param router The router's name.
 * @param incarnation The incarnation, which increases with each restart.
 */
record PeerIncarnation(String router, long incarnation) {

    /**
     * Checks whether this is a later incarnation of the same router.
     *
     * @param other The other incarnation.
     * @return {@code true} if this one is later; {@code false} for another router.
     */
    boolean isLaterThan(PeerIncarnation other) {
        return router.equals(other.router) && incarnation > other.incarnation;
    }
}
