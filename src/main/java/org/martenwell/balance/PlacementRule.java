package org.martenwell.balance;

import java.util.Collection;

/** Additional cost of placing a prompt on an engine, besides that of the chooser. */
public interface PlacementRule {

    /**
     * Updates the engines among which prompts are placed.
     *
     * @param engines The engines that accept requests.
     * @param now The current time, in milliseconds.
     */
    void update(Collection<TargetLoad> engines, long now);

    /**
     * Returns the additional cost of a placement.
     *
     * @param load The engine.
     * @param prefillMillis The time for the prefill of the prompt at an engine of the usual speed,
     *     in milliseconds.
     * @param running The number of requests on the engine.
     * @param backlogMillis The time for the prefills ahead of the prompt, in milliseconds.
     * @return The cost in milliseconds, negative for an advantage.
     */
    double costMillis(TargetLoad load, double prefillMillis, int running, double backlogMillis);

    /**
     * Records a request that was sent.
     *
     * @param prefillMillis The time for its prefill at an engine of the usual speed, in
     *     milliseconds.
     * @param now The current time, in milliseconds.
     */
    void sent(double prefillMillis, long now);
}
