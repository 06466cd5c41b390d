package org.martenwell.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.martenwell.configuration.Target;

/** The slots that one router holds at all targets, and the requests that run in them. */
final class HeldSlots implements TargetLoads {

    /** The slots by target. */
    private final Map<String, HeldShare> shares = new TreeMap<>();

    /** The requests that run now, by target and organisation. */
    private final Map<GrantKey, Integer> running = new HashMap<>();

    /** The requests that run now, by target. */
    private final Map<String, Integer> runningAt = new HashMap<>();

    /** The failed requests since the start, by target. */
    private final Map<String, Long> failures = new TreeMap<>();

    /** Creates an account without slots. */
    HeldSlots() {}

    /**
     * Changes the targets and their keepers. Idle slots of earlier keepers are dropped; requests
     * that run go on.
     *
     * @param targets All targets.
     * @param keepers The keeper of each target, by target.
     */
    void assign(List<Target> targets, Map<String, KeeperReference> keepers) {
        Map<String, HeldShare> kept = new TreeMap<>();
        for (Target target : targets) {
            KeeperReference keeper = keepers.get(target.name());
            HeldShare share = shares.get(target.name());
            if (keeper != null) {
                boolean same = share != null && share.keeper().equals(keeper);
                kept.put(target.name(), same ? share : new HeldShare(target, keeper));
            }
        }
        shares.clear();
        shares.putAll(kept);
    }

    /**
     * Finds the slots at a target.
     *
     * @param target The target's name.
     * @return The slots or empty if the target has no keeper.
     */
    Optional<HeldShare> find(String target) {
        return Optional.ofNullable(shares.get(target));
    }

    /**
     * Returns the slots at all targets.
     *
     * @return The slots.
     */
    Collection<HeldShare> all() {
        return shares.values();
    }

    /**
     * Returns whether a lent slot is idle at a target.
     *
     * @param target The target.
     * @return {@code true} if one is.
     */
    boolean hasIdleLent(Target target) {
        return find(target.name())
                .filter(share -> share.totals(SlotClass.ANY).idle() > 0)
                .isPresent();
    }

    /**
     * Takes an idle slot into use.
     *
     * @param share The slots at the target.
     * @param slotClass The class of the slot.
     * @param organisation The organisation that uses it.
     * @return The slot.
     */
    Slot use(HeldShare share, String slotClass, String organisation) {
        String target = share.target().name();
        share.totals(slotClass).use();
        share.addRunning(organisation, 1);
        running.merge(new GrantKey(target, organisation), 1, Integer::sum);
        runningAt.merge(target, 1, Integer::sum);
        return new Slot(share, share.term(), slotClass, organisation);
    }

    /**
     * Ends the use of a slot.
     *
     * @param slot The slot.
     * @param failed {@code true} if the target failed.
     */
    void finish(Slot slot, boolean failed) {
        String target = slot.target().name();
        running.merge(new GrantKey(target, slot.organisation()), -1, Integer::sum);
        runningAt.merge(target, -1, Integer::sum);
        slot.share().finish(slot);
        if (failed) {
            failures.merge(target, 1L, Long::sum);
        }
    }

    /**
     * Returns what a keeper is told of one class of slots.
     *
     * @param key The target and class.
     * @return The message.
     */
    Holding holding(GrantKey key) {
        int runs = running.getOrDefault(key, 0);
        HeldShare share = shares.get(key.target());
        if (share == null) {
            return new Holding(key.target(), 0, key.slotClass(), 0, 0, runs, runs);
        }
        HeldTotals totals = share.classes().getOrDefault(key.slotClass(), new HeldTotals());
        return new Holding(
                key.target(),
                share.term(),
                key.slotClass(),
                totals.seen(),
                totals.released(),
                runs,
                runs - share.running(key.slotClass()));
    }

    /**
     * Returns what a keeper is told of all slots at a target.
     *
     * @param share The slots at the target.
     * @return The messages.
     */
    List<Holding> holdings(HeldShare share) {
        String target = share.target().name();
        List<Holding> holdings = new ArrayList<>();
        for (String slotClass : share.classes().keySet()) {
            holdings.add(holding(new GrantKey(target, slotClass)));
        }
        for (Map.Entry<GrantKey, Integer> entry : running.entrySet()) {
            GrantKey key = entry.getKey();
            boolean listed = share.classes().containsKey(key.slotClass());
            if (key.target().equals(target) && !listed && entry.getValue() > 0) {
                holdings.add(holding(key));
            }
        }
        return holdings;
    }

    /**
     * Returns how many requests failed at a target.
     *
     * @param target The target's name.
     * @return The count or empty if none failed.
     */
    Optional<FailureCount> failures(String target) {
        return Optional.ofNullable(failures.get(target))
                .map(total -> new FailureCount(target, total));
    }

    /**
     * Returns how many requests run.
     *
     * @return The number of requests.
     */
    int running() {
        return runningAt.values().stream().mapToInt(Integer::intValue).sum();
    }

    @Override
    public double load(Target target) {
        return runningAt.getOrDefault(target.name(), 0) / (double) target.slots();
    }
}
