package org.martenwell.standin;

import java.util.List;
import java.util.Optional;

/**
 * The load of one organisation.
 *
 * @param organisation The name of the organisation.
 * @param key The API key.
 * @param routers The addresses of the routers, used in rotation.
 * @param concurrency The constant number of concurrent requests, or 0 to send at a rate.
 * @param perSecond The requests per second if the concurrency is 0.
 * @param model The model of the chat requests.
 * @param service The plain service that receives every fourth request if the load is sent at a
 *     rate; empty for none.
 * @param promptBytes The size of the prompts, in bytes.
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

    /** {@return {@code true} if a constant number of requests is kept open} */
    public boolean closedLoop() {
        return concurrency > 0;
    }
}
