package org.martenwell.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Quarantine of requests that crash targets, and of prompt parts that crash each target that serves
 * them. A part has a fingerprint like a request; all that holds for requests here holds for parts.
 * Evidence comes from this gateway, from peers and from the directory; the decisions don't depend
 * on the order in which it arrives.
 *
 * <p>A crash is any unplanned end of a target's process. A target that restarts is a new
 * incarnation, which can crash again.
 */
public final class Quarantine {

    /**
     * The time for which a request is quarantined, in milliseconds. Afterwards it can crash three
     * more targets, so operators need time to fix or replace what it crashes.
     */
    public static final long QUARANTINE_MILLIS = 3_600_000;

    /**
     * The most requests tracked. A crash of a sixth of 62 engines that run 48 requests each leaves
     * about 500 suspected ones.
     */
    private static final int MAX_REQUESTS = 4_096;

    /**
     * The most crashes in the snapshot for a new peer. Each takes about 40 bytes, and connections
     * to many peers open at once.
     */
    private static final int MAX_SNAPSHOT_CRASHES = 1_024;

    /** The time for which an unchanged, suspected request is tracked, in milliseconds. */
    private static final long SUSPICION_TTL_MILLIS = 600_000;

    /** The tracked requests, least recently changed first. */
    private final Map<Fingerprint, Suspicion> suspicions = new LinkedHashMap<>();

    /** The number of tracked requests of each scope. */
    private final Map<Long, Integer> scopeCounts = new HashMap<>();

    /** The requests in the state {@link QuarantineState#UNDECIDED}. */
    private final Set<Fingerprint> undecided = new HashSet<>();

    /** The requests in the state {@link QuarantineState#QUARANTINED}. */
    private final Set<Fingerprint> quarantined = new HashSet<>();

    /** The prompt parts that are harmless, since targets served them recently. */
    private final HarmlessParts harmlessParts = new HarmlessParts();

    /** Tells the fingerprints of parts from those of requests. */
    private final PartScopes partScopes = new PartScopes();

    /** The updates to send to peers. */
    private final UpdateQueue updates = new UpdateQueue();

    /** Set while updates are queued that peers should receive without delay. */
    private boolean urgent;

    /** Creates a quarantine that tracks no request. */
    public Quarantine() {}

    /**
     * Records the crash of a target that was running a request from this gateway, and queues an
     * update for peers if the crash is new.
     *
     * @param fingerprint The request.
     * @param incarnation The incarnation of the target.
     * @param now The current time, in milliseconds.
     * @return {@code true} if the crash is new, so that peers should be informed at once.
     */
    public boolean recordCrash(Fingerprint fingerprint, String incarnation, long now) {
        if (harmlessParts.contains(fingerprint, now)) {
            return false;
        }
        boolean added = addCrash(fingerprint, incarnation, now);
        if (added) {
            updates.add(QuarantineUpdate.crash(fingerprint, incarnation), now);
            urgent = true;
        }
        return added;
    }

    /**
     * Records the crash of a target that was serving a prompt part from this gateway, and queues an
     * update for peers if the crash is new.
     *
     * @param part The part.
     * @param incarnation The incarnation of the target.
     * @param now The current time, in milliseconds.
     * @return {@code true} if the crash is new, so that peers should be informed at once.
     */
    public boolean recordPartCrash(Fingerprint part, String incarnation, long now) {
        partScopes.add(part);
        return recordCrash(part, incarnation, now);
    }

    /**
     * Clears a suspected request, because a target completed it or an operator released it, and
     * queues an update for peers.
     *
     * @param fingerprint The request.
     * @param now The current time, in milliseconds.
     * @return {@code true} if the request was quarantined.
     */
    public boolean clear(Fingerprint fingerprint, long now) {
        boolean wasQuarantined = quarantined.contains(fingerprint);
        Suspicion suspicion = suspicions.get(fingerprint);
        if (suspicion != null && suspicion.isSuspected()) {
            clearSuspicion(fingerprint, now);
            updates.add(QuarantineUpdate.cleared(fingerprint), now);
            urgent = true;
        }
        return wasQuarantined;
    }

    /**
     * Records that a target served a prompt part without crashing, which clears the part for some
     * seconds.
     *
     * @param part The part.
     * @param now The current time, in milliseconds.
     * @return {@code true} if the part was quarantined.
     */
    public boolean partServed(Fingerprint part, long now) {
        partScopes.add(part);
        harmlessParts.add(part, now);
        return clear(part, now);
    }

    /**
     * Applies an update from a peer.
     *
     * @param update The update.
     * @param now The current time, in milliseconds.
     * @return {@code true} if the update quarantined the request.
     */
    public boolean applyUpdate(QuarantineUpdate update, long now) {
        Fingerprint fingerprint = update.fingerprint();
        return switch (update.kind()) {
            case TARGET_CRASHED -> {
                if (addCrash(fingerprint, update.incarnation(), now)
                        && harmlessParts.contains(fingerprint, now)) {
                    clear(fingerprint, now);
                }
                yield false;
            }
            case CLEARED -> {
                clearSuspicion(fingerprint, now);
                yield false;
            }
            case QUARANTINED -> quarantine(fingerprint, now);
        };
    }

    /**
     * Quarantines a request that a peer or the directory reports, unless it was cleared recently or
     * prompt parts explain its crashes.
     *
     * @param fingerprint The request.
     * @param now The current time, in milliseconds.
     * @return {@code true} if this call quarantined the request.
     */
    public boolean quarantine(Fingerprint fingerprint, long now) {
        return quarantine(fingerprint, Set.of(), now);
    }

    /**
     * Quarantines a request that the directory reports, unless it was cleared recently or prompt
     * parts explain its crashes.
     *
     * @param fingerprint The request.
     * @param crashedIncarnations The incarnations whose crashes count against it.
     * @param now The current time, in milliseconds.
     * @return {@code true} if this call quarantined the request.
     */
    public boolean quarantine(Fingerprint fingerprint, Set<String> crashedIncarnations, long now) {
        if (quarantined.contains(fingerprint)) {
            return false;
        }
        Suspicion suspicion = markChanged(fingerprint, now);
        if (explainedByParts(fingerprint, List.of())) {
            return false;
        }
        suspicion.quarantine(crashedIncarnations, now);
        updateStateSets(fingerprint, suspicion.state());
        return quarantined.contains(fingerprint);
    }

    /**
     * Decides on the undecided requests that are due and removes expired ones.
     *
     * @param now The current time, in milliseconds.
     * @return The requests that this call quarantined.
     */
    public List<Fingerprint> decide(long now) {
        removeExpired(now);
        List<Fingerprint> decided = new ArrayList<>();
        for (Fingerprint each : List.copyOf(undecided)) {
            Suspicion suspicion = suspicions.get(each);
            if (suspicion.isDue(now) && explainedByParts(each, List.of())) {
                suspicion.acquit(now);
            } else {
                suspicion.decide(now);
            }
            updateStateSets(each, suspicion.state());
            if (quarantined.contains(each)) {
                decided.add(each);
            }
        }
        return decided;
    }

    /**
     * Returns {@code true} if a request of a scope is tracked. Others need no fingerprint.
     *
     * @param scope The scope.
     * @return {@code true} if at least one request is tracked.
     */
    public boolean tracksScope(long scope) {
        return scopeCounts.containsKey(scope);
    }

    /** {@return {@code true} if no request is quarantined or undecided, so that all may be sent} */
    public boolean blocksNothing() {
        return quarantined.isEmpty() && undecided.isEmpty();
    }

    /**
     * Returns the state of a request.
     *
     * @param fingerprint The request.
     * @return The state, {@link QuarantineState#FREE} if the request isn't tracked.
     */
    public QuarantineState state(Fingerprint fingerprint) {
        Suspicion suspicion = suspicions.get(fingerprint);
        return suspicion == null ? QuarantineState.FREE : suspicion.state();
    }

    /**
     * Returns whether a request or a part is suspected or quarantined.
     *
     * @param fingerprint The request or part.
     * @return {@code true} if at least one crash counts against it, or it is quarantined.
     */
    public boolean suspects(Fingerprint fingerprint) {
        Suspicion suspicion = suspicions.get(fingerprint);
        return suspicion != null && suspicion.isSuspected();
    }

    /**
     * Returns the state of a request by its own crashes. It isn't blocked if blocked prompt parts
     * that it doesn't have explain all of them: it ran beside these parts. Once a target crashes
     * under it without them, it is blocked.
     *
     * @param fingerprint The request.
     * @param parts The shared parts of its prompt.
     * @return The state, {@link QuarantineState#FREE} if the request isn't tracked.
     */
    public QuarantineState state(Fingerprint fingerprint, Collection<Fingerprint> parts) {
        QuarantineState state = state(fingerprint);
        return state != QuarantineState.FREE && explainedByParts(fingerprint, parts)
                ? QuarantineState.FREE
                : state;
    }

    private boolean explainedByParts(Fingerprint request, Collection<Fingerprint> parts) {
        if (partScopes.contains(request)) {
            return false;
        }
        Set<String> unexplained = new HashSet<>(suspicions.get(request).crashedIncarnations());
        boolean crashed = !unexplained.isEmpty();
        Stream.concat(undecided.stream(), quarantined.stream())
                .filter(each -> partScopes.contains(each) && !parts.contains(each))
                .forEach(each -> suspicions.get(each).removeExplained(unexplained));
        return crashed && unexplained.isEmpty();
    }

    /**
     * Returns the state of a request with prompt parts. A part is ignored if another one that the
     * request doesn't have explains all crashes that count against it. The request then shows which
     * of both is harmful.
     *
     * @param parts The shared parts of the request's prompt.
     * @return The strictest state of the parts, {@link QuarantineState#FREE} if there are none.
     */
    public QuarantineState state(Collection<Fingerprint> parts) {
        QuarantineState strictest = QuarantineState.FREE;
        for (Fingerprint each : parts) {
            QuarantineState state = state(each);
            if (state != QuarantineState.FREE && !explainedByOther(each, parts)) {
                strictest = strictest.or(state);
            }
        }
        return strictest;
    }

    private boolean explainedByOther(Fingerprint part, Collection<Fingerprint> parts) {
        Suspicion suspicion = suspicions.get(part);
        return Stream.concat(undecided.stream(), quarantined.stream())
                .filter(other -> other.scope() == part.scope() && !parts.contains(other))
                .anyMatch(other -> suspicion.isExplainedBy(suspicions.get(other)));
    }

    /** {@return the number of quarantined requests} */
    public int quarantinedCount() {
        return quarantined.size();
    }

    /** {@return the number of tracked requests, including those cleared recently} */
    public int size() {
        return suspicions.size();
    }

    /** {@return the number of crashes that count, summed over all tracked requests} */
    public int crashCount() {
        return suspicions.values().stream()
                .mapToInt(each -> each.crashedIncarnations().size())
                .sum();
    }

    /**
     * Returns the incarnations of targets that crashed while running a request.
     *
     * @param fingerprint The request.
     * @return The incarnations whose crashes count, empty if the request isn't tracked.
     */
    public Set<String> crashedIncarnations(Fingerprint fingerprint) {
        Suspicion suspicion = suspicions.get(fingerprint);
        return suspicion == null ? Set.of() : Set.copyOf(suspicion.crashedIncarnations());
    }

    /**
     * Returns whether updates are queued that peers should receive without delay: crashes, and
     * requests or parts that were cleared. Calling this forgets it.
     *
     * @return {@code true} if there are such updates since the last call.
     */
    public boolean takeUrgent() {
        boolean taken = urgent;
        urgent = false;
        return taken;
    }

    /**
     * Takes the updates that are due to be sent to peers.
     *
     * @param now The current time, in milliseconds.
     * @return The updates.
     */
    public List<QuarantineUpdate> takeUpdates(long now) {
        return updates.take(now);
    }

    /**
     * Returns the state to send to a newly connected peer.
     *
     * @return All quarantined requests, and the most recent crashes.
     */
    public List<QuarantineUpdate> snapshot() {
        List<QuarantineUpdate> crashes = new ArrayList<>();
        suspicions.forEach(
                (fingerprint, suspicion) -> {
                    for (String each : suspicion.crashedIncarnations()) {
                        crashes.add(QuarantineUpdate.crash(fingerprint, each));
                    }
                });
        List<QuarantineUpdate> snapshot = new ArrayList<>(quarantinedRequestUpdates());
        snapshot.addAll(
                crashes.subList(
                        Math.max(0, crashes.size() - MAX_SNAPSHOT_CRASHES), crashes.size()));
        return snapshot;
    }

    /** {@return an update for each quarantined request} */
    public List<QuarantineUpdate> quarantinedRequestUpdates() {
        return quarantined.stream().map(QuarantineUpdate::quarantined).toList();
    }

    /**
     * Adds a crash to the evidence against a request.
     *
     * @param fingerprint The request.
     * @param incarnation The incarnation of the target.
     * @param now The current time, in milliseconds.
     * @return {@code true} if the crash is new and counts.
     */
    private boolean addCrash(Fingerprint fingerprint, String incarnation, long now) {
        Suspicion suspicion = markChanged(fingerprint, now);
        boolean added = suspicion.recordCrash(incarnation, now);
        updateStateSets(fingerprint, suspicion.state());
        return added;
    }

    private void clearSuspicion(Fingerprint fingerprint, long now) {
        Suspicion suspicion = markChanged(fingerprint, now);
        suspicion.clear(now);
        updateStateSets(fingerprint, suspicion.state());
    }

    private void updateStateSets(Fingerprint fingerprint, QuarantineState state) {
        undecided.remove(fingerprint);
        quarantined.remove(fingerprint);
        if (state == QuarantineState.UNDECIDED) {
            undecided.add(fingerprint);
        } else if (state == QuarantineState.QUARANTINED) {
            quarantined.add(fingerprint);
        }
    }

    /**
     * Moves a request to the end of the order of eviction, and starts to track it if necessary.
     *
     * @param fingerprint The request.
     * @param now The current time, in milliseconds.
     * @return The evidence about the request.
     */
    private Suspicion markChanged(Fingerprint fingerprint, long now) {
        Suspicion suspicion = suspicions.remove(fingerprint);
        if (suspicion == null) {
            scopeCounts.merge(fingerprint.scope(), 1, Integer::sum);
            suspicion = new Suspicion(now);
        }
        suspicions.put(fingerprint, suspicion);
        if (suspicions.size() > MAX_REQUESTS) {
            evictOne();
        }
        return suspicion;
    }

    /**
     * Evicts the least recently changed free request, or the least recently changed one if none is
     * free.
     */
    private void evictOne() {
        Fingerprint oldest =
                suspicions.entrySet().stream()
                        .filter(each -> each.getValue().state() == QuarantineState.FREE)
                        .map(Map.Entry::getKey)
                        .findFirst()
                        .orElseGet(() -> suspicions.keySet().iterator().next());
        suspicions.remove(oldest);
        removeFromIndexes(oldest);
    }

    private void removeExpired(long now) {
        Iterator<Map.Entry<Fingerprint, Suspicion>> all = suspicions.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<Fingerprint, Suspicion> each = all.next();
            long age = now - each.getValue().changedMillis();
            if (age < SUSPICION_TTL_MILLIS) {
                return;
            }
            if (!quarantined.contains(each.getKey()) || age >= QUARANTINE_MILLIS) {
                all.remove();
                removeFromIndexes(each.getKey());
            }
        }
    }

    private void removeFromIndexes(Fingerprint fingerprint) {
        updateStateSets(fingerprint, QuarantineState.FREE);
        scopeCounts.merge(fingerprint.scope(), -1, Integer::sum);
        scopeCounts.remove(fingerprint.scope(), 0);
    }
}
