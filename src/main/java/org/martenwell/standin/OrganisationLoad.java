package org.martenwell.standin;

import java.util.List;
import java.util.Optional;

/**
 * The load of one organisation.
 *
 * @param organisation The organisation's name.
 * @param key A caller's key.
 * @param routers The addresses of the routers that it uses, one after the other.
 * @param concurrency How many requests it keeps open at all times; 0 to send at a rate.
 * @param perSecond How many requests it sends a second if it keeps none open.
 * @param model The model that it asks.
 * @param service The plain service that it asks with every fourth request.
 * @param promptBytes The size of its prompts, in bytes.
 */
public record OrganisationLoad(
        String organisation,
        String key,
        List<String> routers,
        int concurrency,
        double perSecond,
        String model,
        Optional<String> service,
        int promptBytes) {

    /**
     * Returns whether the organisation always has requests open.
     *
     * @return {@code true} if so.
     */
    public boolean closedLoop() {
        return concurrency > 0;
    }
}
