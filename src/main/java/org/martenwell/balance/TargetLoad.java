package org.martenwell.balance;

import java.util.Collections;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Set;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.hash.RendezvousHash;
import org.martenwell.prompt.PromptMemory;

/** What is known of a target: its own requests, those of peers, its prompt memory and health. */
public final class TargetLoad {

    /** How old a peer's word may be, in milliseconds. */
    private static final long PEER_EXPIRY_MILLIS = 1_000;

    /** What the directory tells. */
    private DirectoryTarget target;

    /** The hash of the target's id. */
    private final long idHash;

    /** This gateway's requests that have no answer yet. */
    private final Set<RunningRequest> unread = Collections.newSetFromMap(new IdentityHashMap<>());

    /** This gateway's requests. */
    private final Set<RunningRequest> running = Collections.newSetFromMap(new IdentityHashMap<>());

    /** What this gateway put on the target. */
    private LoadSums own = LoadSums.NONE;

    /** What peers put on the target, by the words that were not too old when last looked at. */
    private LoadSums peerSums = LoadSums.NONE;

    /** When the oldest of the peers' words becomes too old, in milliseconds. */
    private long peersValidUntil = Long.MAX_VALUE;

    /** What peers put on the target, by peer. */
    private final Map<String, PeerLoad> peers = new HashMap<>();

    /** What the target keeps of prompts. */
    private final PromptMemory memory = new PromptMemory();

    /** How the target does. */
    private final TargetHealth health = new TargetHealth();

    /** What the target has said of itself. */
    private final Availability availability;

    /**
     * A peer's word.
     *
     * @param sums What it put on the target.
     * @param receivedMillis When it was heard, in milliseconds.
     */
    private record PeerLoad(LoadSums sums, long receivedMillis) {}

    /**
     * Creates the load of a target that has no requests.
     *
     * @param target What the directory tells.
     */
    public TargetLoad(DirectoryTarget target) {
        this(target, new Availability());
    }

    /**
     * Creates the load of a target that has no requests.
     *
     * @param target What the directory tells.
     * @param availability What the target has said of itself.
     */
    public TargetLoad(DirectoryTarget target, Availability availability) {
        this.target = target;
        this.availability = availability;
        this.idHash = RendezvousHash.hash(target.id());
    }

    /**
     * Returns the hash of the target's id.
     *
     * @return The hash.
     */
    long idHash() {
        return idHash;
    }

    /**
     * Returns what the directory tells.
     *
     * @return The target.
     */
    public DirectoryTarget target() {
        return target;
    }

    /**
     * Changes what the directory tells.
     *
     * @param changed The target.
     */
    public void target(DirectoryTarget changed) {
        target = changed;
    }

    /**
     * Returns what the target keeps of prompts.
     *
     * @return The memory.
     */
    public PromptMemory memory() {
        return memory;
    }

    /**
     * Returns how the target does.
     *
     * @return The health.
     */
    public TargetHealth health() {
        return health;
    }

    /**
     * Returns what the target has said of itself.
     *
     * @return What it has said.
     */
    public Availability availability() {
        return availability;
    }

    /**
     * Adds a request.
     *
     * @param request The request.
     */
    public void sent(RunningRequest request) {
        if (running.add(request)) {
            unread.add(request);
            own = own.plus(request.sums());
        }
    }

    /**
     * Notes that a request's first event arrived.
     *
     * @param request The request.
     */
    public void begun(RunningRequest request) {
        if (unread.remove(request)) {
            own = own.minus(new LoadSums(0, request.unreadTokens(), 0));
        }
    }

    /**
     * Removes a request.
     *
     * @param request The request.
     */
    public void ended(RunningRequest request) {
        begun(request);
        if (running.remove(request)) {
            own = own.minus(new LoadSums(1, 0, request.memoryTokens()));
        }
    }

    /**
     * Takes in a peer's word.
     *
     * @param peer The peer's name.
     * @param sums What it put on the target.
     * @param now The present time, in milliseconds.
     */
    public void peer(String peer, LoadSums sums, long now) {
        PeerLoad before =
                sums.equals(LoadSums.NONE)
                        ? peers.remove(peer)
                        : peers.put(peer, new PeerLoad(sums, now));
        if (before != null) {
            peerSums = peerSums.minus(before.sums());
        }
        peerSums = peerSums.plus(sums);
        peersValidUntil = Math.min(peersValidUntil, now + PEER_EXPIRY_MILLIS);
    }

    /**
     * Returns what this gateway put on the target.
     *
     * @return The sums.
     */
    public LoadSums own() {
        return own;
    }

    /**
     * Returns what all gateways put on the target.
     *
     * @param now The present time, in milliseconds.
     * @return The sums.
     */
    public LoadSums all(long now) {
        if (now > peersValidUntil) {
            forgetOldWords(now);
        }
        return own.plus(peerSums);
    }

    /**
     * Forgets peers' words that are too old.
     *
     * @param now The present time, in milliseconds.
     */
    private void forgetOldWords(long now) {
        peers.values().removeIf(each -> now - each.receivedMillis() > PEER_EXPIRY_MILLIS);
        peerSums = LoadSums.NONE;
        peersValidUntil = Long.MAX_VALUE;
        for (PeerLoad each : peers.values()) {
            peerSums = peerSums.plus(each.sums());
            peersValidUntil = Math.min(peersValidUntil, each.receivedMillis() + PEER_EXPIRY_MILLIS);
        }
    }
}
