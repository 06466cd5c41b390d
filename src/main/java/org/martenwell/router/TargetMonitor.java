package org.martenwell.router;

import io.activej.reactor.nio.NioReactor;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.configuration.Target;
import org.martenwell.observe.LogEvent;
import org.martenwell.peer.TargetNotice;
import org.martenwell.target.LoadReport;
import org.martenwell.target.TargetConnector;

/**
 * Polls the targets that this router coordinates and informs the scheduler and the peers about
 * which targets accept requests.
 */
public final class TargetMonitor implements TargetRefusalListener {

    /** Number of consecutive failed polls after which a target counts as unavailable. */
    private static final int MAX_MISSED_REPORTS = 3;

    /** Number of polls after which the notice about an unavailable target is repeated. */
    private static final int REPEAT_NOTICE_POLLS = 4;

    private static final Logger LOGGER = LogManager.getLogger(TargetMonitor.class);

    private final NioReactor reactor;

    private final TargetConnector connector;

    private final FleetScheduler scheduler;

    private final MessageSender sender;

    private final AcceptingTargets acceptingTargets = new AcceptingTargets();

    /** Whether each target accepts requests, as last passed to the scheduler, by target. */
    private final Map<String, Boolean> applied = new HashMap<>();

    /** Number of consecutive failed polls, by coordinated target. */
    private final Map<String, Integer> missed = new HashMap<>();

    /** Whether each target accepts requests, as last sent to peers, by coordinated target. */
    private final Map<String, Boolean> announced = new HashMap<>();

    /** Last load reports, by coordinated target. */
    private final Map<String, LoadReport> reports = new HashMap<>();

    private List<Target> targets = List.of();

    private long polls;

    /**
     * Creates a monitor without targets.
     *
     * @param reactor The event loop.
     * @param connector The connector to targets.
     * @param scheduler The scheduler to inform.
     * @param sender The sender of messages to peers.
     */
    public TargetMonitor(
            NioReactor reactor,
            TargetConnector connector,
            FleetScheduler scheduler,
            MessageSender sender) {
        this.reactor = reactor;
        this.connector = connector;
        this.scheduler = scheduler;
        this.sender = sender;
    }

    /**
     * Replaces the targets.
     *
     * @param all All targets of the fleet.
     */
    public void setTargets(List<Target> all) {
        targets = List.copyOf(all);
        apply();
    }

    /** Requests the load of all coordinated targets. Called periodically. */
    public void poll() {
        polls++;
        Set<String> coordinated = scheduler.coordinator().coordinatedTargets();
        missed.keySet().retainAll(coordinated);
        announced.keySet().retainAll(coordinated);
        reports.keySet().retainAll(coordinated);
        for (Target target : targets) {
            if (coordinated.contains(target.name())) {
                connector
                        .load(target)
                        .whenResult(report -> onReport(target, report))
                        .whenException(exception -> onMissedReport(target));
            }
        }
        apply();
    }

    /**
     * Replaces the targets that the platform lists as draining.
     *
     * @param draining The names of the targets that the box list marks as leaving.
     */
    public void setDraining(Set<String> draining) {
        acceptingTargets.setDraining(new HashSet<>(draining));
        apply();
    }

    /**
     * Processes a peer's notice about a target.
     *
     * @param notice The notice.
     */
    public void receive(TargetNotice notice) {
        acceptingTargets.applyNotice(notice.target(), notice.acceptsRequests());
        apply();
    }

    @Override
    public void refused(Target target) {
        acceptingTargets.recordRefusal(target.name(), reactor.currentTimeMillis());
        sender.broadcast(new TargetNotice(target.name(), false));
        announced.remove(target.name());
        apply();
    }

    private void onReport(Target target, LoadReport report) {
        missed.put(target.name(), 0);
        reports.put(target.name(), report);
        announce(target.name(), !report.leaving());
    }

    private void onMissedReport(Target target) {
        if (missed.merge(target.name(), 1, Integer::sum) >= MAX_MISSED_REPORTS) {
            announce(target.name(), false);
        }
    }

    /**
     * Broadcasts whether a target accepts requests, if that has changed or the notice is due again.
     */
    private void announce(String target, boolean accepting) {
        Boolean before = announced.put(target, accepting);
        boolean changed = before == null || before != accepting;
        if (changed || (!accepting && polls % REPEAT_NOTICE_POLLS == 0)) {
            sender.broadcast(new TargetNotice(target, accepting));
        }
        acceptingTargets.applyNotice(target, accepting);
        apply();
    }

    /** Informs the scheduler about the targets whose state has changed. */
    private void apply() {
        long now = reactor.currentTimeMillis();
        List<Target> changed = new ArrayList<>();
        for (Target target : targets) {
            boolean accepting = acceptingTargets.acceptsRequests(target.name(), now);
            if (applied.getOrDefault(target.name(), true) != accepting) {
                applied.put(target.name(), accepting);
                changed.add(target);
            }
        }
        for (Target target : changed) {
            boolean accepting = applied.get(target.name());
            LOGGER.info(
                    LogEvent.of("target")
                            .with("target", target.name())
                            .with("open", accepting)
                            .message());
            scheduler.setAcceptsRequests(target.name(), accepting);
        }
    }

    /** {@return the last load reports of coordinated targets, by target name} */
    public Map<String, LoadReport> reports() {
        return Map.copyOf(reports);
    }

    /**
     * Returns whether a target accepts requests, as known to this router.
     *
     * @param target The target's name.
     * @return {@code true} if it accepts requests.
     */
    public boolean acceptsRequests(String target) {
        return acceptingTargets.acceptsRequests(target, reactor.currentTimeMillis());
    }
}
