package org.martenwell.gateway;

import io.activej.reactor.schedule.ScheduledRunnable;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import org.martenwell.exchange.CallerExchange;
import org.martenwell.exchange.CallerRequest;
import org.martenwell.exchange.ResponseFraming;
import org.martenwell.exchange.StatusCode;
import org.martenwell.peer.OffloadedRequest;
import org.martenwell.peer.OffloadedRequestCancelled;
import org.martenwell.peer.OffloadedResponse;
import org.martenwell.peer.OffloadedResponseReceived;
import org.martenwell.peer.ResponsePart;
import org.martenwell.route.Route;
import org.martenwell.route.RouteType;
import org.martenwell.service.StepGuard;
import org.martenwell.settings.GatewayFeature;
import org.martenwell.stream.CompleteEventFilter;

/**
 * Lets other gateways handle requests of this one's callers, and passes the responses on. A request
 * that another gateway rejects is handled here as if it had not been offloaded. One that another
 * gateway hands back or loses is repeated or continued here, if its route permits that.
 */
final class RequestOffloader {

    /** The largest body of a request that is offloaded, in bytes. */
    static final int MAX_BODY_BYTES = 1 << 16;

    /** The processor time that a request costs on average, in milliseconds. */
    private static final double WORK_MILLIS = 3;

    /** The interval at which the progress of slow callers is checked, in milliseconds. */
    private static final long BACKLOG_CHECK_MILLIS = 20;

    /**
     * The time after the deadline of a request in which the other gateway may still answer that it
     * has passed, in milliseconds.
     */
    private static final long RESPONSE_MARGIN_MILLIS = 150;

    /** The timeout of a request without a route, in milliseconds. */
    private static final long DEFAULT_TIMEOUT_MILLIS = 2_000;

    private final GatewayCore core;

    private final String name;

    private final OffloadTargets targets;

    private final OffloadLinks links;

    /** Handles requests here. */
    private final BiConsumer<CallerExchange, OffloadedWork> local;

    /** The time for which a gateway goes on behind the start of its shutdown, in milliseconds. */
    private final long drainMillis;

    /** The requests in progress by number. */
    private final Map<Long, OffloadedExchange> exchanges = new HashMap<>();

    /** The requests whose callers read more slowly than the responses arrive. */
    private final Set<OffloadedExchange> backlogged = new HashSet<>();

    /** Set while a check of the callers' progress is scheduled. */
    private boolean checkScheduled;

    /** The number of the next request, random at first so that no restart repeats numbers. */
    private long nextId;

    /**
     * Creates an offloader without requests.
     *
     * @param core The state that all requests share.
     * @param name This gateway's name.
     * @param targets Chooses the gateways that requests are offloaded to.
     * @param links The connections to them.
     * @param local Handles requests here.
     * @param drainMillis The time for which a gateway goes on behind the start of its shutdown, in
     *     milliseconds.
     */
    RequestOffloader(
            GatewayCore core,
            String name,
            OffloadTargets targets,
            OffloadLinks links,
            BiConsumer<CallerExchange, OffloadedWork> local,
            long drainMillis) {
        this.core = core;
        this.name = name;
        this.targets = targets;
        this.links = links;
        this.local = local;
        this.drainMillis = drainMillis;
        this.nextId = (long) (core.random() * (1L << 52));
    }

    /**
     * Sends a request to another gateway, if one is chosen and connected.
     *
     * @param exchange The complete request.
     * @return {@code false} if the request has to be handled here.
     */
    boolean offload(CallerExchange exchange) {
        CallerRequest request = exchange.request();
        if (!core.enables(GatewayFeature.OFFLOAD)
                || core.configurationVersion() == 0
                || request.body().length() > MAX_BODY_BYTES) {
            return false;
        }
        long now = core.now();
        Optional<String> chosen = targets.choose(WORK_MILLIS, now);
        if (chosen.isEmpty() || !links.prepare(chosen.get())) {
            return false;
        }
        RequestMetadata metadata = core.dialect().read(request.headers());
        Optional<Route> route = core.routes().find(metadata.host(), request.path());
        long deadlineMillis = deadlineMillis(request, route, metadata);
        boolean stream = route.filter(each -> each.type() == RouteType.STREAMING).isPresent();
        boolean resumable = stream && route.get().resumable();
        if (stream && !resumable && deadlineMillis - now > drainMillis) {
            // A shutdown of the other gateway could cut it, and it couldn't go on elsewhere.
            return false;
        }
        send(exchange, chosen.get(), now - request.arrivedMillis(), resumable, deadlineMillis);
        return true;
    }

    private static long deadlineMillis(
            CallerRequest request, Optional<Route> route, RequestMetadata metadata) {
        long timeoutMillis = route.map(Route::timeoutMillis).orElse(DEFAULT_TIMEOUT_MILLIS);
        return request.arrivedMillis()
                + Math.min(timeoutMillis, metadata.timeoutMillis().orElse(Long.MAX_VALUE));
    }

    private void send(
            CallerExchange exchange,
            String peer,
            long heldMillis,
            boolean resumable,
            long deadlineMillis) {
        CallerRequest request = exchange.request();
        OffloadedRequest message =
                new OffloadedRequest(
                        name,
                        nextId++,
                        core.configurationVersion(),
                        heldMillis,
                        request.method().name(),
                        request.target(),
                        HeaderFields.of(request.headers()),
                        ByteBuffer.wrap(request.body().bytes()),
                        exchange.keepAlive(),
                        exchange.chunksAllowed());
        OffloadedExchange offloaded =
                new OffloadedExchange(
                        message.id(), peer, exchange, core.responseMemory(), resumable);
        exchanges.put(message.id(), offloaded);
        core.beginRequest();
        offloaded.timeout(timeout(offloaded, deadlineMillis));
        exchange.onDisconnect(() -> callerDisconnected(offloaded));
        // The caller may leave, and the deadline pass, until a slow pass of the event loop ends.
        links.sendNow(peer, message);
        core.log().requests().offloaded(() -> requestId(exchange), peer, heldMillis);
    }

    /** Starts the timer for the deadline of a request, at which the other gateway may be silent. */
    private ScheduledRunnable timeout(OffloadedExchange offloaded, long deadlineMillis) {
        return core.reactor()
                .delayBackground(
                        Math.max(1, deadlineMillis - core.now()) + RESPONSE_MARGIN_MILLIS,
                        () ->
                                StepGuard.of(
                                                "RequestOffloader",
                                                Optional::empty,
                                                thrown -> failed(offloaded))
                                        .run(() -> timedOut(offloaded)));
    }

    /** Ends a request whose deadline has passed without an answer of the other gateway. */
    private void timedOut(OffloadedExchange offloaded) {
        if (exchanges.containsKey(offloaded.id())) {
            cancel(offloaded);
            lost(offloaded);
        }
    }

    private Optional<String> requestId(CallerExchange exchange) {
        return core.dialect().read(exchange.request().headers()).requestId();
    }

    /**
     * Returns whether a gateway handles requests of this one's callers.
     *
     * @param peer The gateway's name.
     * @return {@code true} if it does.
     */
    boolean uses(String peer) {
        return exchanges.values().stream().anyMatch(each -> each.peer().equals(peer));
    }

    /**
     * Processes parts of responses. Those of requests that are over are ignored.
     *
     * @param message The parts.
     */
    void receive(OffloadedResponse message) {
        for (ResponsePart each : message.parts()) {
            OffloadedExchange offloaded = exchanges.get(each.id());
            if (offloaded != null && offloaded.peer().equals(message.sender())) {
                StepGuard.of("RequestOffloader", Optional::empty, thrown -> failed(offloaded))
                        .run(() -> receive(offloaded, each));
            }
        }
    }

    private void receive(OffloadedExchange offloaded, ResponsePart part) {
        if (part.kind().hasStatus() && !StatusCode.isFinal(part.value())) {
            // A gateway of an earlier build passes on whatever status a target sends.
            cancel(offloaded);
            lost(offloaded);
            return;
        }
        switch (part.kind()) {
            case CHUNKED_HEAD -> offloaded.begin(part, ResponseFraming.CHUNKED);
            case CLOSE_DELIMITED_HEAD -> offloaded.begin(part, ResponseFraming.CLOSE_DELIMITED);
            case LENGTH_HEAD -> offloaded.keep(part);
            case BODY -> receiveBody(offloaded, part);
            case END -> {
                finish(offloaded);
                offloaded.end();
                offloaded.release();
            }
            case WHOLE -> {
                finish(offloaded);
                offloaded.respond(part);
            }
            case BROKEN -> {
                offloaded.broken(part);
                lost(offloaded);
            }
            case REJECTED -> rejected(offloaded);
            case SENT_AGAIN -> offloaded.sentAgain(part.value());
        }
    }

    private void receiveBody(OffloadedExchange offloaded, ResponsePart part) {
        if (!offloaded.write(part)) {
            cancel(offloaded);
            lost(offloaded);
        } else if (offloaded.reportDue()) {
            if (offloaded.reportReady()) {
                report(offloaded);
            } else if (backlogged.add(offloaded)) {
                scheduleCheck();
            }
        }
    }

    private void report(OffloadedExchange offloaded) {
        long bytes = offloaded.takeReport();
        links.send(offloaded.peer(), new OffloadedResponseReceived(name, offloaded.id(), bytes));
    }

    private void scheduleCheck() {
        if (!checkScheduled) {
            checkScheduled = true;
            core.reactor().delayBackground(BACKLOG_CHECK_MILLIS, this::checkBacklogs);
        }
    }

    /** Tells the handling gateways how far the slow callers have read. */
    private void checkBacklogs() {
        checkScheduled = false;
        for (OffloadedExchange each : List.copyOf(backlogged)) {
            if (each.reportReady()) {
                report(each);
            }
            if (!each.reportDue()) {
                backlogged.remove(each);
            }
        }
        if (!backlogged.isEmpty()) {
            scheduleCheck();
        }
    }

    /** Handles a request here that another gateway has not run. */
    private void rejected(OffloadedExchange offloaded) {
        core.log().requests().offloadRejected();
        targets.rejected(offloaded.peer(), core.now());
        finish(offloaded);
        local.accept(offloaded.exchange(), OffloadedWork.NONE);
    }

    /**
     * Ends the requests that a gateway handles, because messages from or to it may have been lost.
     *
     * @param peer The gateway's name.
     */
    void peerLost(String peer) {
        List<OffloadedExchange> lost = new ArrayList<>(exchanges.values());
        lost.removeIf(each -> !each.peer().equals(peer));
        if (!lost.isEmpty()) {
            targets.failed(peer, core.now());
        }
        for (OffloadedExchange each : lost) {
            cancel(each);
            StepGuard.of("RequestOffloader", Optional::empty, thrown -> failed(each))
                    .run(() -> lost(each));
        }
    }

    /**
     * Handles a request here that another gateway has lost or handed back. A response that has
     * begun is continued if it is a resumable stream, else aborted.
     */
    private void lost(OffloadedExchange offloaded) {
        if (!finish(offloaded)) {
            // A message to the peer, as that of a cancellation, found it lost before.
            return;
        }
        CallerExchange exchange = offloaded.exchange();
        long elapsedMillis = core.now() - exchange.request().arrivedMillis();
        core.log()
                .requests()
                .offloadFailed(() -> requestId(exchange), exchange.headSent(), elapsedMillis);
        offloaded.release();
        Optional<CompleteEventFilter> forwarded = offloaded.forwarded();
        if (exchange.headSent() && forwarded.isEmpty()) {
            exchange.abort();
        } else {
            local.accept(
                    exchange,
                    new OffloadedWork(offloaded.attempts(), offloaded.retryPaid(), forwarded));
        }
    }

    private void callerDisconnected(OffloadedExchange offloaded) {
        if (finish(offloaded)) {
            cancel(offloaded);
            offloaded.release();
        }
    }

    /** Ends a request of which a step has thrown an exception or error. */
    private void failed(OffloadedExchange offloaded) {
        try {
            if (finish(offloaded)) {
                cancel(offloaded);
                offloaded.release();
            }
        } finally {
            offloaded.exchange().failed();
        }
    }

    private void cancel(OffloadedExchange offloaded) {
        links.sendNow(offloaded.peer(), new OffloadedRequestCancelled(name, offloaded.id()));
    }

    /**
     * Removes a request that is over for the other gateway.
     *
     * @param offloaded The request.
     * @return {@code false} if it was removed before.
     */
    private boolean finish(OffloadedExchange offloaded) {
        if (exchanges.remove(offloaded.id()) == null) {
            return false;
        }
        offloaded.cancelTimeout();
        backlogged.remove(offloaded);
        core.endRequest();
        return true;
    }
}
