package org.martenwell.directory;

import java.net.InetSocketAddress;
import java.util.OptionalLong;

/**
 * A target as the directory tells it. A target may start again under its id; it then keeps nothing
 * of before, so all that is believed of it hangs on its life.
 *
 * @param id The target's id.
 * @param bornMillis When it started, in milliseconds since 1970 by its own clock; empty at
 *     deployments whose targets do not tell.
 * @param service The service that it belongs to.
 * @param address Its address.
 * @param failureDomain Its failure domain.
 * @param slots How many requests it runs at a time.
 * @param leaving Whether it takes no new work.
 */
public record DirectoryTarget(
        String id,
        OptionalLong bornMillis,
        String service,
        InetSocketAddress address,
        String failureDomain,
        int slots,
        boolean leaving) {

    /** How the start is written in a life. */
    private static final int START_RADIX = 36;

    /**
     * Returns the name of the target's present life, by which gateways tell each other of it.
     *
     * @return The id and the start, like {@code i-7f3a91c2@lxk3f9a0}, or the id alone if the start
     *     is not told.
     */
    public String life() {
        return bornMillis.isPresent()
                ? id + "@" + Long.toString(bornMillis.getAsLong(), START_RADIX)
                : id;
    }
}
