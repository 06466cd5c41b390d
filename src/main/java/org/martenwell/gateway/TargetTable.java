package org.martenwell.gateway;

import io.activej.reactor.nio.NioReactor;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.martenwell.balance.Availabilities;
import org.martenwell.balance.Availability;
import org.martenwell.balance.NoticeSource;
import org.martenwell.balance.PrefillRate;
import org.martenwell.balance.TargetLoad;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.exchange.HttpCaller;
import org.martenwell.exchange.KeepAlive;
import org.martenwell.exchange.TargetConnections;

/** The targets of the directory, with their loads and connections. */
final class TargetTable {

    /** How long opening a connection to a target may take, in milliseconds. */
    private static final long CONNECT_MILLIS = 400;

    /** The loop. */
    private final NioReactor reactor;

    /** Is told what becomes known of targets. */
    private final TargetTableListener listener;

    /** What targets have said of themselves. */
    private final Availabilities availabilities = new Availabilities();

    /** The targets by id. */
    private final Map<String, KnownTarget> targets = new HashMap<>();

    /** The targets by life. */
    private final Map<String, KnownTarget> lives = new HashMap<>();

    /** The reading rates by service. */
    private final Map<String, PrefillRate> rates = new HashMap<>();

    /**
     * How long the own directory may take to tell that a target leaves which is known already, in
     * milliseconds: twice as long as changes are gathered in the largest fleet.
     */
    private static final long CONFIRMED_MILLIS = 1_500;

    /** The lives of leaving targets for which the directory was asked again. */
    private final Set<String> askedAgain = new HashSet<>();

    /**
     * Creates an empty table.
     *
     * @param reactor The loop.
     * @param listener Is told what becomes known of targets.
     */
    TargetTable(NioReactor reactor, TargetTableListener listener) {
        this.reactor = reactor;
        this.listener = listener;
    }

    /**
     * Takes in the directory's targets. One that started again is a new target: it has lost its
     * connections, requests and kept prompts.
     *
     * @param told All targets by id.
     */
    void update(Map<String, DirectoryTarget> told) {
        for (String id : List.copyOf(targets.keySet())) {
            if (!told.containsKey(id)) {
                forget(id);
            }
        }
        told.values().forEach(this::take);
        askedAgain.retainAll(lives.keySet());
    }

    /**
     * Takes in a target. Any other start is a new one; it may seem to lie before the last, if the
     * target's clock was set back. So is another address, to which no connection leads.
     *
     * @param told What the directory tells.
     */
    private void take(DirectoryTarget told) {
        KnownTarget same = lives.get(told.life());
        if (same != null && same.load().target().address().equals(told.address())) {
            same.load().target(told);
            noteLeaving(same.load());
            return;
        }
        if (targets.containsKey(told.id())) {
            forget(told.id());
        }
        at(told.address()).ifPresent(listener::ended);
        KnownTarget created = create(told);
        targets.put(told.id(), created);
        lives.put(told.life(), created);
        noteLeaving(created.load());
    }

    /**
     * Notes whether the directory tells that a target leaves.
     *
     * @param load The target.
     */
    private void noteLeaving(TargetLoad load) {
        if (load.target().leaving()) {
            leaves(load.target().life(), NoticeSource.DIRECTORY, reactor.currentTimeMillis());
        }
    }

    /**
     * Notes that a target leaves. It gets no requests from now on, whatever else is told later: a
     * store that was away went on to tell a target as ready for 13 s after its first such answer.
     *
     * @param life The target's life.
     * @param source From where that is known.
     * @param now The present time, in milliseconds.
     */
    private void leaves(String life, NoticeSource source, long now) {
        if (availability(life).markDraining(source, now)) {
            listener.leaves(life, source);
        }
    }

    /**
     * Returns what a target has said of itself. One that lives is asked itself: the memory of lives
     * is bounded and may have forgotten it among 2,048 others.
     *
     * @param life The target's life.
     * @return What it has said.
     */
    private Availability availability(String life) {
        KnownTarget known = lives.get(life);
        return known == null ? availabilities.of(life) : known.load().availability();
    }

    /**
     * Forgets a target that is gone or has started again.
     *
     * @param id The target's id.
     */
    private void forget(String id) {
        KnownTarget gone = targets.remove(id);
        lives.remove(gone.load().target().life());
        if (!gone.load().availability().isDraining()) {
            listener.ended(gone);
        }
        gone.connections().close();
    }

    /**
     * Returns the target at an address. One of which the directory has not yet told that it ended
     * may be found there when the next one takes its place.
     *
     * @param address The address.
     * @return The target or empty if there is none.
     */
    private Optional<KnownTarget> at(InetSocketAddress address) {
        return targets.values().stream()
                .filter(each -> each.load().target().address().equals(address))
                .findAny();
    }

    /**
     * Notes that a peer knows a target to be leaving, which this gateway may not know yet.
     *
     * @param life The target's life.
     * @param now The present time, in milliseconds.
     */
    void leavingByPeer(String life, long now) {
        leaves(life, NoticeSource.PEER, now);
    }

    /**
     * Tells whether the own directory has not told for too long that a target leaves which is known
     * to, so that it may have missed more. Each target counts once.
     *
     * @param now The present time, in milliseconds.
     * @return {@code true} if the directory has to be read again.
     */
    boolean missesNews(long now) {
        boolean misses = false;
        for (KnownTarget each : targets.values()) {
            Availability availability = each.load().availability();
            DirectoryTarget target = each.load().target();
            boolean untold = availability.isDraining() && !target.leaving();
            if (untold && now - availability.drainingSinceMillis() >= CONFIRMED_MILLIS) {
                misses |= askedAgain.add(target.life());
            }
        }
        return misses;
    }

    /**
     * Returns the targets that are leaving.
     *
     * @return Their lives.
     */
    List<String> leaving() {
        List<String> found = new ArrayList<>();
        for (KnownTarget each : targets.values()) {
            if (each.load().availability().isDraining()) {
                found.add(each.load().target().life());
            }
        }
        return found;
    }

    /**
     * Returns the targets of a service that take requests.
     *
     * @param service The service.
     * @param tried The ids of targets to pass over.
     * @param now The present time, in milliseconds.
     * @return Their loads.
     */
    List<TargetLoad> open(String service, Collection<String> tried, long now) {
        List<TargetLoad> open = new ArrayList<>();
        for (KnownTarget each : targets.values()) {
            DirectoryTarget target = each.load().target();
            if (target.service().equals(service)
                    && each.load().availability().isAvailable(now)
                    && !tried.contains(target.id())
                    && each.load().health().isAvailable(now)) {
                open.add(each.load());
            }
        }
        return open;
    }

    /**
     * Returns when a target of a service takes requests again that rests now.
     *
     * @param service The service.
     * @param now The present time, in milliseconds.
     * @return The time until the first rest ends, in milliseconds; empty if no target rests that
     *     does not leave.
     */
    OptionalLong firstRestMillis(String service, long now) {
        return targets.values().stream()
                .map(KnownTarget::load)
                .filter(each -> each.target().service().equals(service))
                .map(TargetLoad::availability)
                .filter(each -> each.isPaused(now) && !each.isDraining())
                .mapToLong(each -> each.pauseMillis(now))
                .min();
    }

    /**
     * Returns the targets of a service that are leaving and still there.
     *
     * @param service The service.
     * @return Their loads.
     */
    List<TargetLoad> leaving(String service) {
        List<TargetLoad> found = new ArrayList<>();
        for (KnownTarget each : targets.values()) {
            boolean leaves = each.load().availability().isDraining();
            if (leaves && each.load().target().service().equals(service)) {
                found.add(each.load());
            }
        }
        return found;
    }

    /**
     * Returns a target.
     *
     * @param id The target's id.
     * @return The target or empty if it is gone.
     */
    Optional<KnownTarget> find(String id) {
        return Optional.ofNullable(targets.get(id));
    }

    /**
     * Returns a target in a certain life.
     *
     * @param life The target's life.
     * @return The target or empty if it is gone, has started again or is not known yet.
     */
    Optional<KnownTarget> findLife(String life) {
        return Optional.ofNullable(lives.get(life));
    }

    /**
     * Returns all targets.
     *
     * @return The targets.
     */
    Collection<KnownTarget> all() {
        return targets.values();
    }

    /**
     * Returns how fast the targets of a service read.
     *
     * @param service The service.
     * @return The rate.
     */
    PrefillRate rate(String service) {
        return rates.computeIfAbsent(service, name -> new PrefillRate());
    }

    /** Closes all idle connections. */
    void close() {
        targets.values().forEach(each -> each.connections().close());
    }

    /**
     * Creates a target.
     *
     * @param told What the directory tells.
     * @return The target.
     */
    private KnownTarget create(DirectoryTarget told) {
        TargetLoad load = new TargetLoad(told, availabilities.of(told.life()));
        return new KnownTarget(
                load,
                new TargetConnections(
                        reactor,
                        told.address(),
                        CONNECT_MILLIS,
                        KeepAlive.NONE,
                        head -> listener.answered(load, head)));
    }

    /**
     * Creates what makes calls of this gateway's own to a target.
     *
     * @param target The target.
     * @return The caller, which has connections of its own.
     */
    HttpCaller caller(KnownTarget target) {
        return new HttpCaller(
                reactor,
                target.load().target().address(),
                head -> listener.answered(target.load(), head));
    }
}
