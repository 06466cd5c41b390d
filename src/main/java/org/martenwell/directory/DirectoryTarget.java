package org.martenwell.directory;

import java.net.InetSocketAddress;
import java.util.OptionalLong;

/**
 * Target as described by its entry in the directory. A target that restarts keeps its id but loses
 * its state, such as its prompt cache, so state about a target must be associated with its
 * incarnation.
 *
 * @param id The target's id.
 * @param startMillis The start time of the target's process by its own clock, in milliseconds since
 *     the epoch; empty in deployments whose targets don't publish it.
 * @param service The name of the service that the target belongs to.
 * @param address The address that accepts requests.
 * @param failureDomain The target's failure domain.
 * @param slots The number of requests that the target runs concurrently.
 * @param draining {@code true} if the target is draining and accepts no new requests.
 * @param warmUpMillis The remaining warm-up time when the entry was written, in milliseconds, 0 for
 *     a target that bears its full load; empty if the entry doesn't state a valid time.
 * @param version The version of the target's software; empty if the entry doesn't state one.
 */
public record DirectoryTarget(
        String id,
        OptionalLong startMillis,
        String service,
        InetSocketAddress address,
        String failureDomain,
        int slots,
        boolean draining,
        OptionalLong warmUpMillis,
        String version) {

    /** The radix of the start time in an incarnation. */
    private static final int START_RADIX = 36;

    /**
     * Creates a target that bears its full load and states no version.
     *
     * @param id The target's id.
     * @param startMillis The start time of the target's process, or empty.
     * @param service The name of the service that the target belongs to.
     * @param address The address that accepts requests.
     * @param failureDomain The target's failure domain.
     * @param slots The number of requests that the target runs concurrently.
     * @param draining {@code true} if the target is draining.
     */
    public DirectoryTarget(
            String id,
            OptionalLong startMillis,
            String service,
            InetSocketAddress address,
            String failureDomain,
            int slots,
            boolean draining) {
        this(
                id,
                startMillis,
                service,
                address,
                failureDomain,
                slots,
                draining,
                OptionalLong.of(0),
                "");
    }

    /**
     * Returns this target at another version of its software.
     *
     * @param changed The version; empty if it is unknown.
     * @return The target.
     */
    public DirectoryTarget withVersion(String changed) {
        return new DirectoryTarget(
                id,
                startMillis,
                service,
                address,
                failureDomain,
                slots,
                draining,
                warmUpMillis,
                changed);
    }

    /**
     * Returns the identifier of the target's current incarnation, which gateways use in messages to
     * each other.
     *
     * @return The id and the start time, such as {@code i-7f3a91c2@lxk3f9a0}, or only the id if the
     *     start time is unknown.
     */
    public String incarnation() {
        return startMillis.isPresent()
                ? id + "@" + Long.toString(startMillis.getAsLong(), START_RADIX)
                : id;
    }
}
