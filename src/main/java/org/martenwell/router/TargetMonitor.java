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

/** Watches the targets that this router keeps and tells the fleet which take new work. */
public final class TargetMonitor implements TargetRefusalListener {

    /** How many reports in a row a target may miss. */
    private static final int MAX_MISSED = 3;

    /** How many polls pass before a closed target is told again. */
    private static final int REPEAT_POLLS = 4;

    /** The log. */
    private static final Logger LOGGER = LogManager.getLogger(TargetMonitor.class);

    /** The loop. */
    private final NioReactor reactor;

    /** Talks to targets. */
    private final TargetConnector connector;

    /** Gives slots. */
    private final FleetScheduler scheduler;

    /** Sends messages to peers. */
    private final MessageSender sender;

    /** Which targets take new work. */
    private final AcceptingTargets states = new AcceptingTargets();

    /** What the scheduler was told, by target. */
    private final Map<String, Boolean> applied = new HashMap<>();

    /** The reports missed in a row, by kept target. */
    private final Map<String, Integer> missed = new HashMap<>();

    /** What peers were told, by kept target. */
    private final Map<String, Boolean> announced = new HashMap<>();

    /** The last reports, by kept target. */
    private final Map<String, LoadReport> reports = new HashMap<>();

    /** All targets. */
    private List<Target> targets = List.of();

    /** The number of polls. */
    private long polls;

    /**
     * Creates a monitor without targets.
     *
     * @param reactor The loop.
     * @param connector Talks to targets.
     * @param scheduler Gives slots.
     * @param sender Sends messages to peers.
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
     * Changes the targets.
     *
     * @param all All targets.
     */
    public void targets(List<Target> all) {
        targets = List.copyOf(all);
        apply();
    }

    /** Asks the kept targets for their load. To be called now and then. */
    public void poll() {
        polls++;
        Set<String> kept = scheduler.coordinator().coordinatedTargets();
        missed.keySet().retainAll(kept);
        announced.keySet().retainAll(kept);
        reports.keySet().retainAll(kept);
        for (Target target : targets) {
            if (kept.contains(target.name())) {
                connector
                        .load(target)
                        .whenResult(report -> reported(target, report))
                        .whenException(exception -> missed(target));
            }
        }
        apply();
    }

    /**
     * Takes in the platform's list.
     *
     * @param leaving The targets listed as leaving.
     */
    public void listed(Set<String> leaving) {
        states.listed(new HashSet<>(leaving));
        apply();
    }

    /**
     * Takes in a peer's notice.
     *
     * @param notice The notice.
     */
    public void received(TargetNotice notice) {
        states.told(notice.target(), notice.open());
        apply();
    }

    @Override
    public void refused(Target target) {
        states.refused(target.name(), reactor.currentTimeMillis());
        sender.broadcast(new TargetNotice(target.name(), false));
        announced.remove(target.name());
        apply();
    }

    /**
     * Takes in a target's report.
     *
     * @param target The target.
     * @param report The report.
     */
    private void reported(Target target, LoadReport report) {
        missed.put(target.name(), 0);
        reports.put(target.name(), report);
        announce(target.name(), !report.leaving());
    }

    /**
     * Notes that a target missed a report.
     *
     * @param target The target.
     */
    private void missed(Target target) {
        if (missed.merge(target.name(), 1, Integer::sum) >= MAX_MISSED) {
            announce(target.name(), false);
        }
    }

    /**
     * Tells the fleet whether a target takes new work, if that is news or a reminder is due.
     *
     * @param target The target.
     * @param open {@code true} if it does.
     */
    private void announce(String target, boolean open) {
        Boolean before = announced.put(target, open);
        boolean news = before == null || before != open;
        if (news || (!open && polls % REPEAT_POLLS == 0)) {
            sender.broadcast(new TargetNotice(target, open));
        }
        states.told(target, open);
        apply();
    }

    /** Tells the scheduler which targets take new work. */
    private void apply() {
        long now = reactor.currentTimeMillis();
        List<Target> changed = new ArrayList<>();
        for (Target target : targets) {
            boolean open = states.open(target.name(), now);
            if (applied.getOrDefault(target.name(), true) != open) {
                applied.put(target.name(), open);
                changed.add(target);
            }
        }
        for (Target target : changed) {
            boolean open = applied.get(target.name());
            LOGGER.info(
                    LogEvent.of("target")
                            .with("target", target.name())
                            .with("open", open)
                            .message());
            scheduler.setAcceptsRequests(target.name(), open);
        }
    }

    /**
     * Returns the last reports of kept targets.
     *
     * @return The reports by target.
     */
    public Map<String, LoadReport> reports() {
        return Map.copyOf(reports);
    }

    /**
     * Returns whether a target takes new work as far as known here.
     *
     * @param target The target.
     * @return {@code true} if it does.
     */
    public boolean open(String target) {
        return states.open(target, reactor.currentTimeMillis());
    }
}
