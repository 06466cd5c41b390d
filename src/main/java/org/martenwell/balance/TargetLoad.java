package org.martenwell.balance;

import java.util.Collections;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.hash.RendezvousHash;
import org.martenwell.prompt.PromptCacheView;

/**
 * The state of a target as known to this gateway: the load of its own requests and of its peers'
 * requests, the prompt cache, the health and the availability.
 */
public final class TargetLoad {

    /** The age at which a peer's report expires, in milliseconds. */
    private static final long PEER_EXPIRY_MILLIS = 1_000;

    /** The directory entry. */
    private DirectoryTarget target;

    private final long idHash;

    /** This gateway's requests whose first event has not arrived. */
    private final Set<RunningRequest> awaitingFirstEvent =
            Collections.newSetFromMap(new IdentityHashMap<>());

    /** This gateway's requests that have not ended. */
    private final Set<RunningRequest> running = Collections.newSetFromMap(new IdentityHashMap<>());

    /** The load of this gateway's requests. */
    private LoadSums own = LoadSums.NONE;

    /** The total load of the reports in {@link #peers}. */
    private LoadSums peerSums = LoadSums.NONE;

    /**
     * The time at which the oldest of these reports expires, in milliseconds, or an earlier one.
     */
    private long peersValidUntilMillis = Long.MAX_VALUE;

    /** The last report of each peer with requests at the target, by peer. */
    private final Map<String, PeerLoad> peers = new HashMap<>();

    private final PromptCacheView promptCache = new PromptCacheView();

    private final TargetHealth health = new TargetHealth();

    private final Availability availability;

    private final WarmUp warmUp = new WarmUp();

    private final TargetSpeed speed = new TargetSpeed();

    /** Returns whether this gateway has an idle connection to the target. */
    private BooleanSupplier idleConnection = () -> true;

    /**
     * The load reported by a peer.
     *
     * @param sums The load.
     * @param receivedMillis The time of receipt, in milliseconds.
     */
    private record PeerLoad(LoadSums sums, long receivedMillis) {}

    /**
     * Creates the state of a target without requests and announcements.
     *
     * @param target The directory entry.
     */
    public TargetLoad(DirectoryTarget target) {
        this(target, new Availability());
    }

    /**
     * Creates the state of a target without requests.
     *
     * @param target The directory entry.
     * @param availability The availability of the target's incarnation.
     */
    public TargetLoad(DirectoryTarget target, Availability availability) {
        this.target = target;
        this.availability = availability;
        this.idHash = RendezvousHash.hash(target.id());
    }

    /** {@return the hash of the target's id, for rendezvous hashing} */
    long idHash() {
        return idHash;
    }

    /** {@return the directory entry} */
    public DirectoryTarget target() {
        return target;
    }

    /**
     * Replaces the directory entry.
     *
     * @param updated The new entry of the same target.
     */
    public void target(DirectoryTarget updated) {
        target = updated;
    }

    /** {@return the estimate of the target's prompt cache} */
    public PromptCacheView promptCache() {
        return promptCache;
    }

    /** {@return the health of the target} */
    public TargetHealth health() {
        return health;
    }

    /** {@return the availability that the target has announced} */
    public Availability availability() {
        return availability;
    }

    /** {@return the warm-up of the target} */
    public WarmUp warmUp() {
        return warmUp;
    }

    /**
     * Sets the source of {@link #hasIdleConnection}.
     *
     * @param source Returns {@code true} while there is an idle connection to the target.
     */
    public void idleConnection(BooleanSupplier source) {
        idleConnection = source;
    }

    /**
     * {@return {@code true} if a request to the target needs no new connection; also if the
     * connections are unknown}
     */
    public boolean hasIdleConnection() {
        return idleConnection.getAsBoolean();
    }

    /** {@return the speed of the target relative to the others of its service} */
    public TargetSpeed speed() {
        return speed;
    }

    /**
     * Estimates the time that the target takes for a prefill.
     *
     * @param tokens The size of the prefill, in tokens.
     * @param rate The prefill rate of the service's targets.
     * @return The time in milliseconds.
     */
    public double prefillMillis(long tokens, PrefillRate rate) {
        return rate.millis(tokens) / speed.factor();
    }

    /**
     * Records a request that was sent to the target.
     *
     * @param request The request; it is ignored if it was recorded before.
     */
    public void sent(RunningRequest request) {
        if (running.add(request)) {
            awaitingFirstEvent.add(request);
            own = own.plus(request.sums());
        }
    }

    /**
     * Records that a request's first event has arrived, so that its prefill no longer counts.
     *
     * @param request The request; it is ignored if that was recorded before.
     */
    public void firstEventArrived(RunningRequest request) {
        if (awaitingFirstEvent.remove(request)) {
            own = own.minus(new LoadSums(0, request.prefillTokens(), 0));
        }
    }

    /**
     * Removes a request.
     *
     * @param request The request; it is ignored if it was removed before.
     */
    public void ended(RunningRequest request) {
        firstEventArrived(request);
        if (running.remove(request)) {
            own = own.minus(new LoadSums(1, 0, request.memoryTokens()));
        }
    }

    /** {@return the number of this gateway's requests at the target} */
    public int runningRequests() {
        return running.size();
    }

    /**
     * Replaces the load of a peer by its latest report.
     *
     * @param peer The peer's name.
     * @param sums The peer's load on the target; {@link LoadSums#NONE} if it has no requests there.
     * @param now The current time, in milliseconds.
     */
    public void applyPeerReport(String peer, LoadSums sums, long now) {
        PeerLoad before =
                sums.equals(LoadSums.NONE)
                        ? peers.remove(peer)
                        : peers.put(peer, new PeerLoad(sums, now));
        if (before != null) {
            peerSums = peerSums.minus(before.sums());
        }
        peerSums = peerSums.plus(sums);
        peersValidUntilMillis = Math.min(peersValidUntilMillis, now + PEER_EXPIRY_MILLIS);
    }

    /** {@return the load of this gateway's requests} */
    public LoadSums own() {
        return own;
    }

    /**
     * Returns the load of all gateways' requests, without expired reports.
     *
     * @param now The current time, in milliseconds.
     * @return The total load.
     */
    public LoadSums totalLoad(long now) {
        if (now > peersValidUntilMillis) {
            removeExpiredReports(now);
        }
        return own.plus(peerSums);
    }

    private void removeExpiredReports(long now) {
        peers.values().removeIf(each -> now - each.receivedMillis() > PEER_EXPIRY_MILLIS);
        peerSums = LoadSums.NONE;
        peersValidUntilMillis = Long.MAX_VALUE;
        for (PeerLoad each : peers.values()) {
            peerSums = peerSums.plus(each.sums());
            peersValidUntilMillis =
                    Math.min(peersValidUntilMillis, each.receivedMillis() + PEER_EXPIRY_MILLIS);
        }
    }
}
