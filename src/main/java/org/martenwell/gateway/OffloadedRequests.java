package org.martenwell.gateway;

import io.netty.handler.codec.http.HttpMethod;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.martenwell.exchange.Body;
import org.martenwell.exchange.CallerExchange;
import org.martenwell.exchange.CallerRequest;
import org.martenwell.peer.OffloadedRequest;
import org.martenwell.peer.OffloadedRequestCancelled;
import org.martenwell.peer.OffloadedResponseReceived;
import org.martenwell.peer.ResponsePart;
import org.martenwell.peer.ResponsePartKind;
import org.martenwell.service.StepGuard;
import org.martenwell.settings.GatewayFeature;

/**
 * Handles requests that other gateways have offloaded to this one, as if they had arrived here. A
 * request that this gateway doesn't handle is rejected, and the other gateway handles it itself.
 */
final class OffloadedRequests {

    /**
     * The time for which responses wait for a connection to their gateway, in milliseconds; that
     * after which a silent peer is disconnected.
     */
    private static final long MAX_UNCONNECTED_MILLIS = 2_500;

    /** The interval at which the outboxes are checked while there are some, in milliseconds. */
    private static final long CHECK_MILLIS = 500;

    /** The most bytes of bodies that wait for one gateway. */
    private static final long MAX_QUEUED_BYTES = 16 << 20;

    /** The exchange of a request and the way of its response. */
    private record Handled(CallerExchange exchange, PeerResponseChannel channel) {}

    /** A gateway that has sent requests. */
    private final class Sender {

        private final String name;

        private final ResponseOutbox outbox;

        /** The requests that are not over, by number. */
        private final Map<Long, Handled> requests = new HashMap<>();

        Sender(String name) {
            this.name = name;
            this.outbox = new ResponseOutbox(core, self, name, links);
        }
    }

    private final GatewayCore core;

    private final String self;

    private final OffloadLinks links;

    private final Consumer<CallerExchange> handler;

    private final Map<String, Sender> senders = new HashMap<>();

    /** Returns whether this gateway is below its own limit. */
    private BooleanSupplier acceptance = () -> true;

    /** Set once no more requests are accepted. */
    private boolean closed;

    private boolean checkScheduled;

    /**
     * Creates a handler without requests.
     *
     * @param core The state that all requests share.
     * @param self This gateway's name.
     * @param links The connections to other gateways.
     * @param handler Handles a request, without offloading it again.
     */
    OffloadedRequests(
            GatewayCore core, String self, OffloadLinks links, Consumer<CallerExchange> handler) {
        this.core = core;
        this.self = self;
        this.links = links;
        this.handler = handler;
    }

    /**
     * Limits the requests that are accepted.
     *
     * @param condition Returns {@code false} while requests are rejected.
     */
    void acceptWhile(BooleanSupplier condition) {
        acceptance = condition;
    }

    /** Rejects all requests from now on; those in progress continue. */
    void close() {
        closed = true;
    }

    /**
     * Ends all requests at their targets and hands them back to their gateways, which may then send
     * them elsewhere. What has arrived of the responses is sent before. The attempts elsewhere are
     * taken from the retry budget of this gateway, which ends, as far as it lasts.
     */
    void handBack() {
        for (Sender each : List.copyOf(senders.values())) {
            cancelAll(each, () -> core.takeRetry() ? 1 : 0);
        }
    }

    /**
     * Ends the requests of a gateway, which learns which ones.
     *
     * @param sender The gateway.
     * @param paidRetries Returns the attempts elsewhere that this gateway pays for a request.
     */
    private static void cancelAll(Sender sender, IntSupplier paidRetries) {
        Map<Long, Handled> cancelled = Map.copyOf(sender.requests);
        cancelled.values().forEach(OffloadedRequests::cancel);
        for (long each : cancelled.keySet()) {
            int paid = paidRetries.getAsInt();
            sender.outbox.add(ResponsePart.of(each, ResponsePartKind.BROKEN, paid), true, () -> {});
        }
    }

    /**
     * Returns whether requests of a gateway are in progress or responses to it wait.
     *
     * @param peer The gateway's name.
     * @return {@code true} if there are some.
     */
    boolean uses(String peer) {
        Sender sender = senders.get(peer);
        return sender != null && !(sender.requests.isEmpty() && sender.outbox.isEmpty());
    }

    /**
     * Handles or rejects a request.
     *
     * @param message The request.
     */
    void receive(OffloadedRequest message) {
        if (!links.keep(message.sender())) {
            // Without its address, nothing can be sent to it, not even a rejection.
            links.closeFrom(message.sender());
            return;
        }
        Sender sender = senders.computeIfAbsent(message.sender(), Sender::new);
        scheduleCheck();
        if (accepts(message)) {
            core.log().requests().receivedOffloaded();
            StepGuard.of("OffloadedRequests", Optional::empty, thrown -> failed(sender, message))
                    .run(() -> handle(sender, message));
        } else {
            sender.outbox.add(
                    ResponsePart.of(message.id(), ResponsePartKind.REJECTED), true, () -> {});
        }
    }

    private boolean accepts(OffloadedRequest message) {
        return !closed
                && core.enables(GatewayFeature.OFFLOAD)
                && acceptance.getAsBoolean()
                && core.configurationVersion() == message.configurationVersion()
                && !core.heap().nearlyFull()
                && core.loopLag().refusedFraction() <= 0
                && core.processor().refusedFraction() <= 0;
    }

    private void handle(Sender sender, OffloadedRequest message) {
        PeerResponseChannel channel =
                new PeerResponseChannel(
                        message.id(),
                        core,
                        sender.outbox,
                        () -> sender.requests.remove(message.id()));
        byte[] body = new byte[message.body().remaining()];
        message.body().duplicate().get(body);
        CallerExchange exchange =
                new CallerExchange(
                        channel,
                        new CallerRequest(
                                HttpMethod.valueOf(message.method()),
                                message.target(),
                                HeaderFields.headers(message.headers()),
                                Body.of(body),
                                core.now() - message.heldMillis()),
                        message.keepAlive(),
                        message.chunksAllowed());
        sender.requests.put(message.id(), new Handled(exchange, channel));
        handler.accept(exchange);
        if (sender.outbox.queuedBytes() > MAX_QUEUED_BYTES) {
            disconnect(sender.name);
        }
    }

    /** Ends a request that could not be handled. */
    private void failed(Sender sender, OffloadedRequest message) {
        Handled handled = sender.requests.get(message.id());
        if (handled == null) {
            sender.outbox.add(
                    ResponsePart.of(message.id(), ResponsePartKind.REJECTED), true, () -> {});
        } else {
            handled.exchange().failed();
        }
    }

    /**
     * Cancels a request whose caller has disconnected.
     *
     * @param message The notice.
     */
    void receive(OffloadedRequestCancelled message) {
        Sender sender = senders.get(message.sender());
        if (sender != null && sender.requests.containsKey(message.id())) {
            cancel(sender.requests.get(message.id()));
        }
    }

    /** Ends a request as if its caller had disconnected. */
    private static void cancel(Handled handled) {
        handled.channel().cancel();
        handled.exchange().callerDisconnected();
    }

    /**
     * Sends more of a response whose caller has read a part of it.
     *
     * @param message The notice.
     */
    void receive(OffloadedResponseReceived message) {
        Sender sender = senders.get(message.sender());
        if (sender != null && sender.requests.containsKey(message.id())) {
            sender.requests.get(message.id()).channel().acknowledged(message.bytes());
        }
    }

    /**
     * Sends what waits for a gateway that has been connected.
     *
     * @param peer The gateway's name.
     */
    void connected(String peer) {
        if (senders.containsKey(peer)) {
            senders.get(peer).outbox.flush();
        }
    }

    /**
     * Cancels the requests of a gateway, because messages from or to it may have been lost. If it
     * still runs, it learns which ones.
     *
     * @param peer The gateway's name.
     */
    void peerLost(String peer) {
        Sender sender = senders.get(peer);
        if (sender == null) {
            return;
        }
        sender.outbox.clear();
        cancelAll(sender, () -> 0);
    }

    /** Gives up a gateway that no responses can be sent to. Closing its connections notifies it. */
    private void disconnect(String peer) {
        peerLost(peer);
        senders.get(peer).outbox.clear();
        links.closeFrom(peer);
    }

    private void scheduleCheck() {
        if (!checkScheduled) {
            checkScheduled = true;
            core.reactor().delayBackground(CHECK_MILLIS, this::check);
        }
    }

    private void check() {
        checkScheduled = false;
        for (Sender each : List.copyOf(senders.values())) {
            if (each.outbox.unconnectedMillis() >= MAX_UNCONNECTED_MILLIS
                    || each.outbox.queuedBytes() > MAX_QUEUED_BYTES) {
                disconnect(each.name);
            }
        }
        senders.values().removeIf(each -> !uses(each.name));
        if (!senders.isEmpty()) {
            scheduleCheck();
        }
    }
}
