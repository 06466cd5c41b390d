package org.martenwell.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Holds back requests under which targets ended. What speaks against a request comes from this
 * gateway, from peers and from what was decided before, and is the same in whichever order it
 * comes.
 */
public final class Quarantine {

    /**
     * How long a request is held back, in milliseconds. It may then end three targets again; in an
     * hour operators can mend or replace what it ends.
     */
    public static final long HELD_MILLIS = 3_600_000;

    /**
     * How many requests are kept in mind at most. A crash of a sixth of 62 engines with 48 requests
     * each leaves some 500 suspected.
     */
    private static final int MAX_REQUESTS = 4_096;

    /**
     * Of how many targets that ended a peer which knows nothing is told at most; a word takes some
     * 40 bytes, and connections to many peers open at once.
     */
    private static final int MAX_TOLD = 1_024;

    /** How long a suspected request is kept in mind, in milliseconds. */
    private static final long SUSPECTED_MILLIS = 600_000;

    /** What is known of requests, the longest unchanged first. */
    private final Map<Fingerprint, Suspicion> requests = new LinkedHashMap<>();

    /** How many of them each scope has. */
    private final Map<Long, Integer> scopes = new HashMap<>();

    /** The requests that are undecided. */
    private final Set<Fingerprint> undecided = new HashSet<>();

    /** The requests that are held back. */
    private final Set<Fingerprint> held = new HashSet<>();

    /** What peers are to be told. */
    private final UpdateQueue news = new UpdateQueue();

    /** Creates a quarantine that knows of no request. */
    public Quarantine() {}

    /**
     * Notes that a target ended while it had a request that this gateway sent.
     *
     * @param fingerprint The request.
     * @param life The target's life.
     * @param now The present time, in milliseconds.
     * @return {@code true} if that was not known, so that peers are to be told.
     */
    public boolean ended(Fingerprint fingerprint, String life, long now) {
        boolean learnt = takeEnded(fingerprint, life, now);
        if (learnt) {
            news.add(QuarantineWord.ended(fingerprint, life), now);
        }
        return learnt;
    }

    /**
     * Takes a request for harmless, since a target answered it whole or an operator says so. Peers
     * are told.
     *
     * @param fingerprint The request.
     * @param now The present time, in milliseconds.
     * @return {@code true} if the request was held back until now.
     */
    public boolean clear(Fingerprint fingerprint, long now) {
        boolean before = held.contains(fingerprint);
        Suspicion known = requests.get(fingerprint);
        if (known != null && known.suspected()) {
            takeCleared(fingerprint, now);
            news.add(QuarantineWord.cleared(fingerprint), now);
        }
        return before;
    }

    /**
     * Takes in what a peer tells.
     *
     * @param word What it tells.
     * @param now The present time, in milliseconds.
     * @return {@code true} if the request is held back from now on.
     */
    public boolean heard(QuarantineWord word, long now) {
        Fingerprint fingerprint = word.fingerprint();
        return switch (word.kind()) {
            case TARGET_ENDED -> {
                takeEnded(fingerprint, word.life(), now);
                yield false;
            }
            case CLEARED -> {
                takeCleared(fingerprint, now);
                yield false;
            }
            case HELD -> hold(fingerprint, now);
        };
    }

    /**
     * Holds a request back, since that was decided before.
     *
     * @param fingerprint The request.
     * @param now The present time, in milliseconds.
     * @return {@code true} if it was not held back until now.
     */
    public boolean hold(Fingerprint fingerprint, long now) {
        if (held.contains(fingerprint)) {
            return false;
        }
        Suspicion suspicion = touch(fingerprint, now);
        suspicion.hold(now);
        index(fingerprint, suspicion.state());
        return held.contains(fingerprint);
    }

    /**
     * Decides about the requests that were undecided for long enough.
     *
     * @param now The present time, in milliseconds.
     * @return Those that are held back from now on.
     */
    public List<Fingerprint> decide(long now) {
        expire(now);
        List<Fingerprint> decided = new ArrayList<>();
        for (Fingerprint each : List.copyOf(undecided)) {
            Suspicion suspicion = requests.get(each);
            suspicion.decide(now);
            index(each, suspicion.state());
            if (held.contains(each)) {
                decided.add(each);
            }
        }
        return decided;
    }

    /**
     * Tells whether any request of a scope is known.
     *
     * @param scope The scope.
     * @return {@code true} if one is.
     */
    public boolean knows(long scope) {
        return scopes.containsKey(scope);
    }

    /**
     * Tells whether all requests are sent, so that none need be looked at.
     *
     * @return {@code true} if none is held back or undecided.
     */
    public boolean idle() {
        return held.isEmpty() && undecided.isEmpty();
    }

    /**
     * Returns what becomes of a request.
     *
     * @param fingerprint The request.
     * @return The state.
     */
    public QuarantineState state(Fingerprint fingerprint) {
        Suspicion suspicion = requests.get(fingerprint);
        return suspicion == null ? QuarantineState.FREE : suspicion.state();
    }

    /**
     * Returns how many requests are held back.
     *
     * @return The number of requests.
     */
    public int held() {
        return held.size();
    }

    /**
     * Returns how many requests are suspected or held back, or were lately.
     *
     * @return The number of requests.
     */
    public int size() {
        return requests.size();
    }

    /**
     * Returns how many targets are known to have ended under requests, for each request at most as
     * many as decide.
     *
     * @return The sum over all requests.
     */
    public int livesKnown() {
        return requests.values().stream().mapToInt(each -> each.lives().size()).sum();
    }

    /**
     * Returns the targets that ended while they had a request, as far as is known.
     *
     * @param fingerprint The request.
     * @return Their lives.
     */
    public Set<String> lives(Fingerprint fingerprint) {
        Suspicion suspicion = requests.get(fingerprint);
        return suspicion == null ? Set.of() : Set.copyOf(suspicion.lives());
    }

    /**
     * Takes what peers are to be told now.
     *
     * @param now The present time, in milliseconds.
     * @return The words.
     */
    public List<QuarantineWord> takeNews(long now) {
        return news.take(now);
    }

    /**
     * Returns what speaks against requests, for a peer that knows nothing yet: all that are held
     * back, and the targets that ended last.
     *
     * @return The words.
     */
    public List<QuarantineWord> all() {
        List<QuarantineWord> ended = new ArrayList<>();
        requests.forEach(
                (fingerprint, suspicion) -> {
                    for (String life : suspicion.lives()) {
                        ended.add(QuarantineWord.ended(fingerprint, life));
                    }
                });
        List<QuarantineWord> words = new ArrayList<>(heldWords());
        words.addAll(ended.subList(Math.max(0, ended.size() - MAX_TOLD), ended.size()));
        return words;
    }

    /**
     * Returns which requests are held back, for peers.
     *
     * @return A word for each.
     */
    public List<QuarantineWord> heldWords() {
        return held.stream().map(QuarantineWord::held).toList();
    }

    /**
     * Takes in that a target ended.
     *
     * @param fingerprint The request that it had.
     * @param life The target's life.
     * @param now The present time, in milliseconds.
     * @return {@code true} if that was not known.
     */
    private boolean takeEnded(Fingerprint fingerprint, String life, long now) {
        Suspicion suspicion = touch(fingerprint, now);
        boolean learnt = suspicion.ended(life, now);
        index(fingerprint, suspicion.state());
        return learnt;
    }

    /**
     * Forgets what speaks against a request, and does not believe it again for a while.
     *
     * @param fingerprint The request.
     * @param now The present time, in milliseconds.
     */
    private void takeCleared(Fingerprint fingerprint, long now) {
        Suspicion suspicion = touch(fingerprint, now);
        suspicion.clear(now);
        index(fingerprint, suspicion.state());
    }

    /**
     * Notes what becomes of a request.
     *
     * @param fingerprint The request.
     * @param state Its state.
     */
    private void index(Fingerprint fingerprint, QuarantineState state) {
        undecided.remove(fingerprint);
        held.remove(fingerprint);
        if (state == QuarantineState.UNDECIDED) {
            undecided.add(fingerprint);
        } else if (state == QuarantineState.HELD) {
            held.add(fingerprint);
        }
    }

    /**
     * Returns what is known of a request, as the one that changed last.
     *
     * @param fingerprint The request.
     * @param now The present time, in milliseconds.
     * @return What is known of it.
     */
    private Suspicion touch(Fingerprint fingerprint, long now) {
        Suspicion known = requests.remove(fingerprint);
        if (known == null) {
            scopes.merge(fingerprint.scope(), 1, Integer::sum);
            known = new Suspicion(now);
        }
        requests.put(fingerprint, known);
        if (requests.size() > MAX_REQUESTS) {
            forgetOne();
        }
        return known;
    }

    /** Forgets the request that has not changed for longest, first of those that are sent. */
    private void forgetOne() {
        Fingerprint oldest =
                requests.entrySet().stream()
                        .filter(each -> each.getValue().state() == QuarantineState.FREE)
                        .map(Map.Entry::getKey)
                        .findFirst()
                        .orElseGet(() -> requests.keySet().iterator().next());
        requests.remove(oldest);
        forgotten(oldest);
    }

    /**
     * Forgets requests of which nothing was learnt for long.
     *
     * @param now The present time, in milliseconds.
     */
    private void expire(long now) {
        Iterator<Map.Entry<Fingerprint, Suspicion>> all = requests.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<Fingerprint, Suspicion> each = all.next();
            long age = now - each.getValue().changedMillis();
            if (age < SUSPECTED_MILLIS) {
                return;
            }
            if (!held.contains(each.getKey()) || age >= HELD_MILLIS) {
                all.remove();
                forgotten(each.getKey());
            }
        }
    }

    /**
     * Notes that a request is no longer known.
     *
     * @param fingerprint The request.
     */
    private void forgotten(Fingerprint fingerprint) {
        index(fingerprint, QuarantineState.FREE);
        scopes.merge(fingerprint.scope(), -1, Integer::sum);
        scopes.remove(fingerprint.scope(), 0);
    }
}
