package org.martenwell.balance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * Separates long prompts from short ones by a cost. Engines prefill prompts in order of arrival, so
 * a short prompt waits for each long one ahead of it, and gateways learn of a long prompt at an
 * engine only with the next report of the peer that sent it. A cost on the known backlog is
 * therefore too late. All gateways divide the engines in the same way instead, without messages:
 * the fastest ones, as many as match the long prompts' part of the prefill work, are meant for long
 * prompts, since a long prompt at a slow engine misses its objective by its own prefill. The order
 * among equally fast engines is that of the hash of their ids.
 *
 * <p>The division is a cost and no limit: a prompt goes to the other engines once its own are
 * busier by that cost, so that no engine is idle while requests wait. While engines are not known
 * to differ in speed there is no division, because long prompts at fewer engines without faster
 * ones among them were later than before.
 */
public final class PrefillInterference implements PlacementRule {

    /**
     * The prefill time from which a prompt is long, in milliseconds: a seventh of the shortest
     * objective of model requests, of which a few prompts ahead may use up the most.
     */
    static final double LONG_PREFILL_MILLIS = 60;

    /**
     * The cost of an engine that is meant for the other prompts, in milliseconds. It is above the
     * noise on costs, which is 70 ms for 95 gateways, and below the shortest objectives.
     */
    static final double OTHER_CLASS_MILLIS = 300;

    /** The ratio of the highest to the lowest speed from which engines are divided. */
    private static final double MIN_SPEED_RATIO = 1.2;

    /** The part of the work below which long prompts get no engines of their own. */
    private static final double MIN_LONG_PART = 0.15;

    /** The part of the work above which short prompts get no engines of their own. */
    private static final double MAX_LONG_PART = 0.9;

    /** The time constant of the decaying sums of work, in milliseconds. */
    private static final double DECAY_MILLIS = 2_000;

    /** The weight of the assumption that half of the work is that of long prompts. */
    private static final double INITIAL_WORK_MILLIS = 60;

    /** The interval at which the engines are divided again, in milliseconds. */
    private static final long UPDATE_MILLIS = 100;

    private final ToDoubleFunction<TargetLoad> speeds;

    /** The engines that are meant for long prompts; all or none if there is no division. */
    private Set<TargetLoad> longEngines = Set.of();

    /** Set while engines are divided. */
    private boolean divided;

    /** The prefill time of long prompts, as a decaying sum as of {@link #lastSentMillis}. */
    private double longWorkMillis;

    /** The prefill time of all prompts, as a decaying sum as of the same time. */
    private double workMillis;

    /** The time at which a request was last sent, in milliseconds. */
    private long lastSentMillis;

    /** The time of the next division, in milliseconds. */
    private long nextUpdateMillis = Long.MIN_VALUE;

    /**
     * Creates the rule of a service without any request.
     *
     * @param speeds The speed of an engine, 1 being the usual one and that of an unknown speed.
     */
    public PrefillInterference(ToDoubleFunction<TargetLoad> speeds) {
        this.speeds = speeds;
    }

    @Override
    public void update(Collection<TargetLoad> engines, long now) {
        if (now < nextUpdateMillis) {
            return;
        }
        nextUpdateMillis = now + UPDATE_MILLIS;
        List<TargetLoad> ordered = new ArrayList<>(engines);
        ordered.sort(
                Comparator.comparingDouble(speeds)
                        .reversed()
                        .thenComparingLong(TargetLoad::idHash));
        double part = longPart(now);
        longEngines = Set.of();
        divided = part >= MIN_LONG_PART && part <= MAX_LONG_PART && differ(ordered);
        if (divided) {
            longEngines = fastest(ordered, part);
        }
    }

    @Override
    public double costMillis(
            TargetLoad load, double prefillMillis, int running, double backlogMillis) {
        boolean longPrompt = prefillMillis > LONG_PREFILL_MILLIS;
        return divided && longPrompt != longEngines.contains(load) ? OTHER_CLASS_MILLIS : 0;
    }

    @Override
    public void sent(double prefillMillis, long now) {
        double decay = Math.exp(-Math.max(0, now - lastSentMillis) / DECAY_MILLIS);
        boolean longPrompt = prefillMillis > LONG_PREFILL_MILLIS;
        longWorkMillis = longWorkMillis * decay + (longPrompt ? prefillMillis : 0);
        workMillis = workMillis * decay + prefillMillis;
        lastSentMillis = now;
    }

    /**
     * Returns the part of the prefill work that is due to long prompts.
     *
     * @param now The current time, in milliseconds.
     * @return The part, from 0 to 1.
     */
    private double longPart(long now) {
        double decay = Math.exp(-Math.max(0, now - lastSentMillis) / DECAY_MILLIS);
        return (longWorkMillis * decay + INITIAL_WORK_MILLIS / 2)
                / (workMillis * decay + INITIAL_WORK_MILLIS);
    }

    /**
     * Returns whether engines are known to differ in speed.
     *
     * @param ordered The engines, the fastest ones first.
     * @return {@code true} if there is a fast and a slow one.
     */
    private boolean differ(List<TargetLoad> ordered) {
        return ordered.size() > 1
                && speeds.applyAsDouble(ordered.get(0))
                        >= MIN_SPEED_RATIO * speeds.applyAsDouble(ordered.get(ordered.size() - 1));
    }

    /**
     * Selects the engines for long prompts.
     *
     * @param ordered The engines, the fastest ones first.
     * @param part The part of the prefill work that is due to long prompts.
     * @return The fastest ones that together have about that part of the speed; not all.
     */
    private Set<TargetLoad> fastest(List<TargetLoad> ordered, double part) {
        double required = part * ordered.stream().mapToDouble(speeds).sum();
        Set<TargetLoad> selected = new HashSet<>();
        double sum = 0;
        for (TargetLoad each : ordered.subList(0, ordered.size() - 1)) {
            double speed = speeds.applyAsDouble(each);
            if (sum + speed / 2 >= required) {
                break;
            }
            sum += speed;
            selected.add(each);
        }
        return selected;
    }
}
