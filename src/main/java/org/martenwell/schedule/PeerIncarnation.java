package org.martenwell.schedule;

/**
 * One life of a router's process.
 *
 * @param router The router's name.
 * @param incarnation The incarnation, greater after each restart.
 */
record PeerIncarnation(String router, long incarnation) {

    /**
     * Returns whether this is a later life of the same router.
     *
     * @param other The other incarnation.
     * @return {@code true} if it is.
     */
    boolean isLaterThan(PeerIncarnation other) {
        return router.equals(other.router) && incarnation > other.incarnation;
    }
}
