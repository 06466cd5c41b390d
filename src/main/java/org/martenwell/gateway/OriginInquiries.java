package org.martenwell.gateway;

import io.activej.reactor.nio.NioReactor;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * The searches for versions of streams that are in progress. Time is counted in rounds, in each of
 * which peers that have not answered are asked again, so that an event loop that is late reads the
 * answers that have arrived before it gives up.
 */
final class OriginInquiries {

    /** The length of a round, in milliseconds. */
    private static final long ROUND_MILLIS = 100;

    /** The most searches in progress, beyond which new ones expire at once. */
    private static final int MAX_PENDING = 20_000;

    private final NioReactor reactor;

    private OriginPeers peers;

    private final Set<PendingInquiry> pending = new LinkedHashSet<>();

    private boolean roundScheduled;

    /**
     * Creates an instance without searches.
     *
     * @param reactor The event loop.
     * @param peers The peers.
     */
    OriginInquiries(NioReactor reactor, OriginPeers peers) {
        this.reactor = reactor;
        this.peers = peers;
    }

    /**
     * Sets the peers; called once before the start.
     *
     * @param sources The peers.
     */
    void peers(OriginPeers sources) {
        peers = sources;
    }

    /**
     * Starts a search.
     *
     * @param started The search.
     */
    void start(PendingInquiry started) {
        if (started.resolve()) {
            return;
        }
        if (pending.size() >= MAX_PENDING) {
            started.expired();
        } else if (!isDenied(started) || !started.denied()) {
            pending.add(started);
            askEach(Set.of(started));
            scheduleRound();
        }
    }

    /** Ends the searches whose result is known now. */
    void resolve() {
        removeIf(PendingInquiry::resolve);
    }

    /**
     * Records that a peer doesn't know streams.
     *
     * @param peer The peer's name.
     * @param attempts The keys of the attempts that brought the first events.
     */
    void denied(String peer, List<Long> attempts) {
        Set<Long> keys = Set.copyOf(attempts);
        for (PendingInquiry each : pending) {
            if (each.inquiry().attempt().filter(keys::contains).isPresent()) {
                each.inquiry().denied(peer);
            }
        }
        removeIf(each -> isDenied(each) && each.denied());
    }

    private boolean isDenied(PendingInquiry each) {
        OriginInquiry inquiry = each.inquiry();
        return peers.fleetKnown() && inquiry.deniedBy(peers.respondents(inquiry.scope()));
    }

    private void scheduleRound() {
        if (!roundScheduled) {
            roundScheduled = true;
            reactor.delayBackground(ROUND_MILLIS, this::endRound);
        }
    }

    private void endRound() {
        roundScheduled = false;
        if (pending.isEmpty()) {
            return;
        }
        scheduleRound();
        pending.forEach(each -> each.inquiry().nextRound());
        removeIf(this::endsNow);
        askEach(pending);
    }

    private boolean endsNow(PendingInquiry each) {
        if (each.resolve() || (isDenied(each) && each.denied())) {
            return true;
        }
        if (each.inquiry().expired()) {
            each.expired();
            return true;
        }
        return false;
    }

    /**
     * Removes the searches that are over. Their listeners may start others. One whose listener
     * fails is removed too, so that it doesn't keep the others from ending.
     */
    private void removeIf(Predicate<PendingInquiry> over) {
        for (PendingInquiry each : List.copyOf(pending)) {
            if (pending.remove(each) && !over.test(each)) {
                pending.add(each);
            }
        }
    }

    private void askEach(Set<PendingInquiry> asking) {
        Map<String, Set<Long>> attempts = new TreeMap<>();
        for (PendingInquiry each : asking) {
            OriginInquiry inquiry = each.inquiry();
            if (inquiry.attempt().isPresent() && each.asksPeers()) {
                for (String peer : peers.respondents(inquiry.scope())) {
                    if (inquiry.awaits(peer)) {
                        inquiry.asked(peer);
                        attempts.computeIfAbsent(peer, name -> new TreeSet<>())
                                .add(inquiry.attempt().get());
                    }
                }
            }
        }
        attempts.forEach((peer, keys) -> peers.ask(peer, List.copyOf(keys)));
    }
}
