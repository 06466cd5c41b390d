package org.martenwell.gateway;

import java.util.List;
import java.util.Optional;
import org.martenwell.version.StreamOrigin;

/**
 * Search of a relay for the version of a stream that another gateway asks for.
 *
 * @param asker The gateway that asks.
 * @param attempt The key of the attempt that brought the first event.
 * @param inquiry The search.
 * @param exchange Sends the answer.
 */
record RelayInquiry(String asker, long attempt, OriginInquiry inquiry, OriginExchange exchange)
        implements PendingInquiry {

    /** Fewer rounds than gateways wait themselves, so that the answer reaches them. */
    private static final int MAX_ROUNDS = 8;

    /**
     * Creates a search.
     *
     * @param asker The gateway that asks.
     * @param attempt The key of the attempt that brought the first event.
     * @param scope The peers to ask.
     * @param exchange Sends the answer.
     * @return The search.
     */
    static RelayInquiry of(
            String asker, long attempt, InquiryScope scope, OriginExchange exchange) {
        OriginInquiry inquiry = new OriginInquiry(Optional.of(attempt), scope, MAX_ROUNDS);
        inquiry.denied(asker);
        return new RelayInquiry(asker, attempt, inquiry, exchange);
    }

    @Override
    public boolean resolve() {
        List<StreamOrigin> found = exchange.known(List.of(attempt));
        if (!found.isEmpty()) {
            exchange.searchEnded(asker, attempt);
            exchange.respond(asker, found);
        }
        return !found.isEmpty();
    }

    @Override
    public boolean denied() {
        exchange.searchEnded(asker, attempt);
        exchange.deny(asker, List.of(attempt));
        return true;
    }

    /** {@inheritDoc} The gateway that asks knows by itself that it got no answer. */
    @Override
    public void expired() {
        exchange.searchEnded(asker, attempt);
    }
}
