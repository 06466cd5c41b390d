package org.martenwell.gateway;

import org.martenwell.exchange.CallerExchange;
import org.martenwell.peer.OffloadMessage;
import org.martenwell.peer.OffloadedRequest;
import org.martenwell.peer.OffloadedRequestCancelled;
import org.martenwell.peer.OffloadedResponse;
import org.martenwell.peer.OffloadedResponseReceived;

/** Both ends of offloading: the requests that are sent to other gateways and those received. */
final class OffloadExchange {

    private final RequestOffloader sent;

    private final OffloadedRequests received;

    /** Set once this gateway shuts down. */
    private boolean closed;

    /**
     * Creates an exchange without requests.
     *
     * @param core The state that all requests share.
     * @param name This gateway's name.
     * @param targets Chooses the gateways that requests are offloaded to.
     * @param links The connections to other gateways.
     * @param drainMillis The time for which a gateway goes on behind the start of its shutdown, in
     *     milliseconds.
     */
    OffloadExchange(
            GatewayCore core,
            String name,
            OffloadTargets targets,
            OffloadLinks links,
            long drainMillis) {
        this.sent =
                new RequestOffloader(
                        core,
                        name,
                        targets,
                        links,
                        (exchange, work) -> new RequestDispatch(core, exchange).continueWith(work),
                        drainMillis);
        this.received =
                new OffloadedRequests(
                        core, name, links, exchange -> new RequestDispatch(core, exchange).start());
        received.acceptWhile(targets::acceptsOffloaded);
    }

    /** Offloads and accepts no more requests; those in progress continue. */
    void close() {
        closed = true;
        received.close();
    }

    /** Hands the requests of other gateways back that are in progress. */
    void stop() {
        close();
        received.handBack();
    }

    /**
     * Sends a caller's request to another gateway if one is to handle it.
     *
     * @param exchange The request.
     * @return {@code false} if it has to be handled here.
     */
    boolean offload(CallerExchange exchange) {
        return !closed && sent.offload(exchange);
    }

    /**
     * Returns whether requests to or from a gateway are in progress.
     *
     * @param peer The gateway's name.
     * @return {@code true} if there are some.
     */
    boolean uses(String peer) {
        return sent.uses(peer) || received.uses(peer);
    }

    /**
     * Processes a message.
     *
     * @param message The message.
     */
    void receive(OffloadMessage message) {
        if (message instanceof OffloadedRequest request) {
            received.receive(request);
        } else if (message instanceof OffloadedResponse response) {
            sent.receive(response);
        } else if (message instanceof OffloadedRequestCancelled cancelled) {
            received.receive(cancelled);
        } else if (message instanceof OffloadedResponseReceived progress) {
            received.receive(progress);
        }
    }

    /**
     * Processes that a gateway has been connected.
     *
     * @param peer The gateway's name.
     */
    void connected(String peer) {
        received.connected(peer);
    }

    /**
     * Processes that messages from or to a gateway may have been lost.
     *
     * @param peer The gateway's name.
     */
    void peerLost(String peer) {
        sent.peerLost(peer);
        received.peerLost(peer);
    }
}
