package org.martenwell.balance;

import java.util.Collection;

/** Additional cost and limits of placing a prompt on an engine, besides those of the chooser. */
public interface PlacementRule {

    /**
     * Returns the additional cost of a placement.
     *
     * @param load The engine.
     * @param prefillMillis The time for the prefill of the prompt there, in milliseconds.
     * @param running The number of requests on the engine.
     * @param backlogMillis The time for the prefills ahead of the prompt, in milliseconds.
     * @return The cost in milliseconds, negative for an advantage.
     */
    double costMillis(TargetLoad load, double prefillMillis, int running, double backlogMillis);

    /**
     * Returns whether a prompt may be placed on an engine while others have capacity.
     *
     * @param load The engine.
     * @param prefillMillis The time for the prefill of the prompt there, in milliseconds.
     * @param running The number of requests on the engine.
     * @param backlogMillis The time for the prefills ahead of the prompt, in milliseconds.
     * @return {@code false} if any permitted engine is to be chosen instead.
     */
    boolean permits(TargetLoad load, double prefillMillis, int running, double backlogMillis);

    /**
     * Updates the engines among which prompts are placed.
     *
     * @param engines The engines that accept requests.
     * @param now The current time, in milliseconds.
     */
    default void update(Collection<TargetLoad> engines, long now) {}

    /**
     * Records a request that was sent.
     *
     * @param prefillMillis The time for its prefill, in milliseconds.
     * @param now The current time, in milliseconds.
     */
    default void sent(double prefillMillis, long now) {}
}
