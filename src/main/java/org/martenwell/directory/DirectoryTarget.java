package org.martenwell.directory;

import java.net.InetSocketAddress;

/**
 * A target as the directory tells it.
 *
 * @param id The id of this start of the target.
 * @param service The service that it belongs to.
 * @param address Its address.
 * @param failureDomain Its failure domain.
 * @param slots How many requests it runs at a time.
 * @param leaving Whether it takes no new work.
 */
public record DirectoryTarget(
        String id,
        String service,
        InetSocketAddress address,
        String failureDomain,
        int slots,
        boolean leaving) {}
