package org.martenwell.balance;

import java.util.Collections;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Set;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.prompt.PromptMemory;

/** What is known of a target: its own requests, those of peers, its prompt memory and health. */
public final class TargetLoad {

    /** How old a peer's word may be, in milliseconds. */
    private static final long PEER_WORD_MILLIS = 1_000;

    /** What the directory tells. */
    private DirectoryTarget target;

    /** This gateway's requests that have no answer yet. */
    private final Set<RunningRequest> unread = Collections.newSetFromMap(new IdentityHashMap<>());

    /** This gateway's requests. */
    private final Set<RunningRequest> running = Collections.newSetFromMap(new IdentityHashMap<>());

    /** What peers put on the target, by peer. */
    private final Map<String, PeerLoad> peers = new HashMap<>();

    /** What the target keeps of prompts. */
    private final PromptMemory memory = new PromptMemory();

    /** How the target does. */
    private final TargetHealth health = new TargetHealth();

    /**
     * A peer's word.
     *
     * @param sums What it put on the target.
     * @param heardMillis When it was heard, in milliseconds.
     */
    private record PeerLoad(LoadSums sums, long heardMillis) {}

    /**
     * Creates the load of a target that has no requests.
     *
     * @param target What the directory tells.
     */
    public TargetLoad(DirectoryTarget target) {
        this.target = target;
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
     * Adds a request.
     *
     * @param request The request.
     */
    public void sent(RunningRequest request) {
        unread.add(request);
        running.add(request);
    }

    /**
     * Notes that a request's first event arrived.
     *
     * @param request The request.
     */
    public void begun(RunningRequest request) {
        unread.remove(request);
    }

    /**
     * Removes a request.
     *
     * @param request The request.
     */
    public void ended(RunningRequest request) {
        unread.remove(request);
        running.remove(request);
    }

    /**
     * Takes in a peer's word.
     *
     * @param peer The peer's name.
     * @param sums What it put on the target.
     * @param now The present time, in milliseconds.
     */
    public void peer(String peer, LoadSums sums, long now) {
        peers.put(peer, new PeerLoad(sums, now));
    }

    /**
     * Returns what this gateway put on the target.
     *
     * @return The sums.
     */
    public LoadSums own() {
        long tokens = 0;
        for (RunningRequest each : unread) {
            tokens += each.unreadTokens();
        }
        long memoryTokens = 0;
        for (RunningRequest each : running) {
            memoryTokens += each.memoryTokens();
        }
        return new LoadSums(running.size(), tokens, memoryTokens);
    }

    /**
     * Returns what all gateways put on the target.
     *
     * @param now The present time, in milliseconds.
     * @return The sums.
     */
    public LoadSums all(long now) {
        LoadSums sums = own();
        peers.values().removeIf(each -> now - each.heardMillis() > PEER_WORD_MILLIS);
        for (PeerLoad each : peers.values()) {
            sums = sums.plus(each.sums());
        }
        return sums;
    }
}
