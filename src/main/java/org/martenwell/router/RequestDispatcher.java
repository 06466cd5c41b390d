package org.martenwell.router;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufs;
import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.martenwell.admission.AdmissionControl;
import org.martenwell.admission.RetryBudget;
import org.martenwell.configuration.PoolKind;
import org.martenwell.configuration.Target;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.error.Outcome;
import org.martenwell.http.HeaderField;
import org.martenwell.http.HeaderFields;
import org.martenwell.json.Json;
import org.martenwell.schedule.Assignment;
import org.martenwell.schedule.Slot;
import org.martenwell.schedule.WaitingRequest;
import org.martenwell.service.ResponseTimeout;
import org.martenwell.target.TargetConnector;
import org.martenwell.target.TargetResponse;

/**
 * Sends requests to targets, relays their responses and retries failed attempts where that is safe.
 */
public final class RequestDispatcher {

    /** Cost of a prompt token relative to an output token. */
    private static final double PROMPT_TOKEN_WEIGHT = 0.05;

    /** Assumed length of a token. Engines report the real number only at the end of a response. */
    private static final double BYTES_PER_TOKEN = 4;

    /** Maximum size of a response that is buffered. */
    private static final int MAX_BUFFERED_BYTES = 4 << 20;

    private final NioReactor reactor;

    /** The clock of timeouts. */
    private final LongSupplier clock;

    private final FleetScheduler scheduler;

    private final TargetConnector connector;

    private final AdmissionControl admission;

    private final RetryBudget budget = new RetryBudget();

    private final SentRequests sent = new SentRequests();

    /** Meters of running requests whose output tokens can't be counted. */
    private final ServiceMeters meters = new ServiceMeters();

    private final RouteLog log;

    private final TargetRefusalListener refusalListener;

    private final RouterMetrics metrics;

    private long lastNumber;

    /**
     * Creates a dispatcher.
     *
     * @param reactor The event loop.
     * @param clock Returns the time, in milliseconds; by it the silence of targets is measured.
     * @param name This router's name.
     * @param scheduler The scheduler that assigns slots.
     * @param connector The connector to targets.
     * @param admission The admission control for requests that have to wait.
     * @param refusalListener The listener for targets that refuse requests.
     * @param metrics The metrics of this router.
     */
    public RequestDispatcher(
            NioReactor reactor,
            LongSupplier clock,
            String name,
            FleetScheduler scheduler,
            TargetConnector connector,
            AdmissionControl admission,
            TargetRefusalListener refusalListener,
            RouterMetrics metrics) {
        this.reactor = reactor;
        this.clock = clock;
        this.scheduler = scheduler;
        this.connector = connector;
        this.admission = admission;
        this.refusalListener = refusalListener;
        this.metrics = metrics;
        this.log = new RouteLog(name);
    }

    /**
     * Sends a request to a target.
     *
     * @param request The request.
     * @return The response. Fails with a {@link MartenwellException} whose outcome covers all
     *     attempts.
     */
    public Promise<RoutedResponse> dispatch(RoutedRequest request) {
        budget.countFirstAttempt();
        return attempt(new RequestProgress(request));
    }

    /** Records the service of running requests by elapsed time. Called periodically. */
    public void recordElapsedService() {
        meters.update(reactor.currentTimeMillis());
    }

    /** {@return the budget that limits retries} */
    public RetryBudget retryBudget() {
        return budget;
    }

    /** {@return the requests that were sent to targets} */
    public SentRequests sentRequests() {
        return sent;
    }

    private Promise<RoutedResponse> attempt(RequestProgress progress) {
        progress.startAttempt();
        return assign(progress)
                .then(assignment -> send(progress, assignment))
                .then(Promise::of, exception -> retryOrFail(progress, exception));
    }

    private Promise<Assignment> assign(RequestProgress progress) {
        long now = reactor.currentTimeMillis();
        WaitingRequest waiting = waitingRequest(progress.request(), now);
        Optional<Assignment> lent = scheduler.takeLent(waiting);
        if (lent.isPresent()) {
            return Promise.of(lent.get());
        }
        String organisation = waiting.organisation();
        try {
            admission.admitToQueue(
                    organisation, progress.request().contract(), waiting.bytes(), now);
        } catch (MartenwellException refusal) {
            return Promise.ofException(refusal);
        }
        long limit =
                Math.max(
                        0, progress.request().contract().maxWaitMillis() - progress.waitedMillis());
        return scheduler
                .awaitSlot(waiting, limit)
                .whenComplete(
                        (assignment, exception) -> {
                            long endedAt = reactor.currentTimeMillis();
                            progress.addWait(endedAt - now);
                            admission.leaveQueue(
                                    organisation, waiting.bytes(), assignment != null, endedAt);
                        })
                .mapException(exception -> withRetryAfter(exception, organisation));
    }

    /**
     * Adds the estimated wait, at least a second, to the failure of a request that waited too long.
     */
    private Exception withRetryAfter(Exception exception, String organisation) {
        if (exception instanceof MartenwellException known) {
            long estimate = admission.estimateMillis(organisation, reactor.currentTimeMillis());
            return known.withRetryAfter(Math.max(1_000, estimate));
        }
        return exception;
    }

    private WaitingRequest waitingRequest(RoutedRequest request, long now) {
        lastNumber++;
        return new WaitingRequest(
                lastNumber,
                request.pool(),
                request.organisation().name(),
                request.message().priority(),
                request.prefix(),
                now,
                request.message().body().length);
    }

    private Promise<RoutedResponse> send(RequestProgress progress, Assignment assignment) {
        RoutedRequest request = progress.request();
        Slot slot = assignment.slot();
        if (!sent.add(request.message().id())) {
            scheduler.release(slot, false);
            return Promise.ofException(Readiness.stopping());
        }
        log.routed(progress, assignment);
        metrics.routed(progress.waitedMillis());
        progress.markSent();
        return connector
                .start(slot.target(), request.message())
                .whenException(
                        exception -> {
                            scheduler.release(slot, true);
                            handleSendFailure(progress.request(), slot.target(), exception);
                        })
                .then(response -> onResponse(progress, slot, response));
    }

    /**
     * Reports a target that refused a request, and cancels the request at the target if it may
     * still run there.
     */
    private void handleSendFailure(RoutedRequest request, Target target, Exception exception) {
        if (!(exception instanceof MartenwellException known)) {
            return;
        }
        if (known.kind() == ErrorKind.TARGET_REFUSED) {
            refusalListener.refused(target);
        }
        if (known.outcome() != Outcome.NOT_RUN && request.pool().kind() == PoolKind.MODEL) {
            connector.cancel(target, request.message().id());
        }
    }

    private Promise<RoutedResponse> onResponse(
            RequestProgress progress, Slot slot, TargetResponse response) {
        progress.markResponding();
        recordPromptService(progress.request());
        if (progress.request().streamed() && response.status() == 200) {
            return Promise.of(relayStream(progress, slot, response));
        }
        return bufferResponse(progress, slot, response);
    }

    /** Records the estimated service of prefilling a prompt when the response begins. */
    private void recordPromptService(RoutedRequest request) {
        double tokens = request.message().body().length / BYTES_PER_TOKEN;
        double units = tokens * PROMPT_TOKEN_WEIGHT * request.unitsPerToken();
        if (units > 0) {
            scheduler.recordService(request.organisation().name(), units);
        }
    }

    private RoutedResponse relayStream(
            RequestProgress progress, Slot slot, TargetResponse response) {
        StreamRelay relay =
                new StreamRelay(
                        reactor,
                        clock,
                        connector,
                        slot.target(),
                        progress.request().message().id(),
                        response.body(),
                        new StreamAccounting(progress, slot, scheduler, log, metrics));
        return new RoutedResponse(
                response.status(),
                HeaderFields.forCaller(response.headers()),
                relay,
                false,
                Outcome.UNKNOWN);
    }

    /**
     * Buffers a response, so that a failed one can be retried and no caller gets a truncated one.
     */
    private Promise<RoutedResponse> bufferResponse(
            RequestProgress progress, Slot slot, TargetResponse response) {
        RoutedRequest request = progress.request();
        long startedAt = reactor.currentTimeMillis();
        ServiceMeter meter =
                new ServiceMeter(
                        scheduler,
                        request.organisation().name(),
                        request.unitsPerSecond(),
                        startedAt);
        meters.add(meter);
        Promise<ByteBuf> body = response.body().toCollector(ByteBufs.collector(MAX_BUFFERED_BYTES));
        return ResponseTimeout.limit(reactor, clock, request.message().timeoutMillis(), body)
                .whenComplete(
                        (buffer, exception) -> {
                            meters.remove(meter);
                            response.body().close();
                            scheduler.release(slot, exception != null);
                        })
                .mapException(
                        exception ->
                                MartenwellException.of(
                                        ErrorKind.TARGET_FAILED,
                                        "The response of the target is incomplete.",
                                        exception))
                .map(
                        buffer -> {
                            byte[] bytes = buffer.asArray();
                            ResponseEnd.requireKnown(response, bytes);
                            progress.markComplete();
                            meter.finish(deliveredUnits(request, bytes, startedAt));
                            return bufferedResponse(response, bytes);
                        });
    }

    /**
     * Returns the service that a complete response delivered: by elapsed time for services without
     * tokens, otherwise by the token usage reported in the body, or 0 if there is none.
     */
    private double deliveredUnits(RoutedRequest request, byte[] body, long startedAt) {
        if (request.unitsPerToken() == 0) {
            long elapsed = reactor.currentTimeMillis() - startedAt;
            return elapsed * request.unitsPerSecond() / 1000;
        }
        try {
            JsonNode usage = Json.read(body).path("usage");
            return usage.path("completion_tokens").asDouble(0) * request.unitsPerToken();
        } catch (MartenwellException notJson) {
            return 0;
        }
    }

    private static RoutedResponse bufferedResponse(TargetResponse response, byte[] body) {
        List<HeaderField> headers = HeaderFields.forCaller(response.headers());
        return new RoutedResponse(
                response.status(),
                headers,
                ChannelSuppliers.ofValue(ByteBuf.wrapForReading(body)),
                true,
                Outcome.RAN);
    }

    /**
     * Retries a failed attempt if that is safe and within the budget, or fails the request with its
     * overall outcome.
     */
    private Promise<RoutedResponse> retryOrFail(RequestProgress progress, Exception exception) {
        MartenwellException failure =
                exception instanceof MartenwellException known
                        ? known
                        : MartenwellException.of(
                                ErrorKind.INTERNAL, "Internal error in the router.", exception);
        MartenwellException concluded = progress.withOverallOutcome(failure);
        boolean targetFailed = isTargetFailure(failure.kind());
        if (targetFailed && progress.canRetry() && budget.takeRetry()) {
            metrics.retried();
            return attempt(progress);
        }
        log.failed(progress.request(), concluded);
        return Promise.ofException(concluded);
    }

    private static boolean isTargetFailure(ErrorKind kind) {
        return kind == ErrorKind.TARGET_FAILED
                || kind == ErrorKind.TARGET_REFUSED
                || kind == ErrorKind.TARGET_TIMEOUT;
    }
}
