package org.martenwell.router;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufs;
import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.nio.NioReactor;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
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
import org.martenwell.target.TargetConnector;
import org.martenwell.target.TargetResponse;

/** Brings requests to targets and their answers back, with retries where they are safe. */
public final class RequestDispatcher {

    /**
     * The share of an output token's cost that a prompt token has; a guess, see the design page.
     */
    private static final double PROMPT_TOKEN_SHARE = 0.05;

    /** How many bytes of a prompt make a token; a guess, as the engine tells it only at the end. */
    private static final double BYTES_PER_TOKEN = 4;

    /** The largest answer that is read whole before it goes on, in bytes. */
    private static final int MAX_WHOLE_BYTES = 4 << 20;

    /** The loop. */
    private final NioReactor reactor;

    /** Gives slots. */
    private final FleetScheduler scheduler;

    /** Talks to targets. */
    private final TargetConnector connector;

    /** Refuses what can't be served in time. */
    private final AdmissionControl admission;

    /** Bounds retries. */
    private final RetryBudget budget = new RetryBudget();

    /** Counts service of requests whose tokens are not seen. */
    private final ServiceMeters meters = new ServiceMeters();

    /** Logs decisions. */
    private final RouteLog log;

    /** Is told of targets that refuse work. */
    private final TargetSigns signs;

    /** Counts what happens. */
    private final RouterMetrics metrics;

    /** The number of the next request. */
    private long nextNumber;

    /**
     * Creates a dispatcher.
     *
     * @param reactor The loop.
     * @param name This router's name.
     * @param scheduler Gives slots.
     * @param connector Talks to targets.
     * @param admission Refuses what can't be served in time.
     * @param signs Is told of targets that refuse work.
     * @param metrics Counts what happens.
     */
    public RequestDispatcher(
            NioReactor reactor,
            String name,
            FleetScheduler scheduler,
            TargetConnector connector,
            AdmissionControl admission,
            TargetSigns signs,
            RouterMetrics metrics) {
        this.reactor = reactor;
        this.scheduler = scheduler;
        this.connector = connector;
        this.admission = admission;
        this.signs = signs;
        this.metrics = metrics;
        this.log = new RouteLog(name);
    }

    /**
     * Brings a request to a target.
     *
     * @param request The request.
     * @return The answer.
     */
    public Promise<RoutedAnswer> dispatch(RoutedRequest request) {
        budget.countFirstAttempt();
        return attempt(new RequestLife(request));
    }

    /** Counts service of requests whose tokens are not seen. To be called now and then. */
    public void tick() {
        meters.tick(reactor.currentTimeMillis());
    }

    /**
     * Returns the bound on retries.
     *
     * @return The budget.
     */
    public RetryBudget retryBudget() {
        return budget;
    }

    /**
     * Makes one attempt, and another one if that is safe.
     *
     * @param life The request's life.
     * @return The answer.
     */
    private Promise<RoutedAnswer> attempt(RequestLife life) {
        life.begin();
        return assign(life)
                .then(assignment -> send(life, assignment))
                .then(Promise::of, exception -> failed(life, exception));
    }

    /**
     * Gets a slot for a request.
     *
     * @param life The request's life.
     * @return The slot.
     */
    private Promise<Assignment> assign(RequestLife life) {
        long now = reactor.currentTimeMillis();
        WaitingRequest waiting = waitingRequest(life.request(), now);
        Optional<Assignment> lent = scheduler.takeLent(waiting);
        if (lent.isPresent()) {
            return Promise.of(lent.get());
        }
        String organisation = waiting.organisation();
        try {
            admission.admitToQueue(organisation, life.request().contract(), waiting.bytes(), now);
        } catch (MartenwellException refusal) {
            return Promise.ofException(refusal);
        }
        long limit = Math.max(0, life.request().contract().maxWaitMillis() - life.waitedMillis());
        return scheduler
                .await(waiting, limit)
                .whenComplete(
                        (assignment, exception) -> {
                            long then = reactor.currentTimeMillis();
                            life.waited(then - now);
                            admission.leaveQueue(
                                    organisation, waiting.bytes(), assignment != null, then);
                        })
                .mapException(exception -> withRetryAfter(exception, organisation));
    }

    /**
     * Tells a caller whose request waited too long when to come back.
     *
     * @param exception The failure.
     * @param organisation The organisation.
     * @return The failure with a time.
     */
    private Exception withRetryAfter(Exception exception, String organisation) {
        if (exception instanceof MartenwellException known) {
            long estimate = admission.estimateMillis(organisation, reactor.currentTimeMillis());
            return known.withRetryAfter(Math.max(1_000, estimate));
        }
        return exception;
    }

    /**
     * Describes a request to the scheduler.
     *
     * @param request The request.
     * @param now The time.
     * @return The description.
     */
    private WaitingRequest waitingRequest(RoutedRequest request, long now) {
        nextNumber++;
        return new WaitingRequest(
                nextNumber,
                request.pool(),
                request.organisation().name(),
                request.message().priority(),
                request.prefix(),
                now,
                request.message().body().length);
    }

    /**
     * Sends a request to the target of its slot.
     *
     * @param life The request's life.
     * @param assignment The slot.
     * @return The answer.
     */
    private Promise<RoutedAnswer> send(RequestLife life, Assignment assignment) {
        RoutedRequest request = life.request();
        Slot slot = assignment.slot();
        log.routed(life, assignment);
        metrics.routed(life.waitedMillis());
        life.written();
        return connector
                .start(slot.target(), request.message())
                .whenException(
                        exception -> {
                            scheduler.finish(slot, true);
                            noteFailure(life.request(), slot.target(), exception);
                        })
                .then(answer -> answered(life, slot, answer));
    }

    /**
     * Ends at the target what nobody waits for any more, and notes a refusal to start, so that no
     * router sends it more.
     *
     * @param request The request.
     * @param target The target.
     * @param exception The failure.
     */
    private void noteFailure(RoutedRequest request, Target target, Exception exception) {
        if (!(exception instanceof MartenwellException known)) {
            return;
        }
        if (known.kind() == ErrorKind.TARGET_REFUSED) {
            signs.refused(target);
        }
        if (known.outcome() != Outcome.NOT_RUN && request.pool().kind() == PoolKind.MODEL) {
            connector.cancel(target, request.message().id());
        }
    }

    /**
     * Passes on an answer that has begun.
     *
     * @param life The request's life.
     * @param slot The slot.
     * @param answer The beginning of the answer.
     * @return The answer for the caller.
     */
    private Promise<RoutedAnswer> answered(RequestLife life, Slot slot, TargetResponse answer) {
        life.answering();
        chargePrompt(life.request());
        if (life.request().streamed() && answer.status() == 200) {
            return Promise.of(stream(life, slot, answer));
        }
        return readWhole(life, slot, answer);
    }

    /**
     * Counts the service of a prompt that the target has started on.
     *
     * @param request The request.
     */
    private void chargePrompt(RoutedRequest request) {
        double tokens = request.message().body().length / BYTES_PER_TOKEN;
        double units = tokens * PROMPT_TOKEN_SHARE * request.unitsPerToken();
        if (units > 0) {
            scheduler.served(request.organisation().name(), units);
        }
    }

    /**
     * Passes on a stream.
     *
     * @param life The request's life.
     * @param slot The slot.
     * @param answer The beginning of the answer.
     * @return The answer for the caller.
     */
    private RoutedAnswer stream(RequestLife life, Slot slot, TargetResponse answer) {
        StreamRelay relay =
                new StreamRelay(
                        connector,
                        slot.target(),
                        life.request().message().id(),
                        answer.body(),
                        new SlotStream(life, slot, scheduler, log, metrics));
        return new RoutedAnswer(
                answer.status(),
                HeaderFields.forCaller(answer.headers()),
                relay,
                false,
                Outcome.UNKNOWN);
    }

    /**
     * Reads an answer whole before it goes on, so that a broken one can be retried and none is ever
     * cut short.
     *
     * @param life The request's life.
     * @param slot The slot.
     * @param answer The beginning of the answer.
     * @return The answer for the caller.
     */
    private Promise<RoutedAnswer> readWhole(RequestLife life, Slot slot, TargetResponse answer) {
        RoutedRequest request = life.request();
        long startedAt = reactor.currentTimeMillis();
        ServiceMeter meter =
                new ServiceMeter(
                        scheduler,
                        request.organisation().name(),
                        request.unitsPerSecond(),
                        startedAt);
        meters.add(meter);
        Promise<ByteBuf> body = answer.body().toCollector(ByteBufs.collector(MAX_WHOLE_BYTES));
        return Promises.timeout(Duration.ofMillis(request.message().timeoutMillis()), body)
                .whenComplete(
                        (buffer, exception) -> {
                            meters.remove(meter);
                            answer.body().close();
                            scheduler.finish(slot, exception != null);
                        })
                .mapException(
                        exception ->
                                MartenwellException.of(
                                        ErrorKind.TARGET_FAILED,
                                        "The target broke off its answer.",
                                        exception))
                .map(
                        buffer -> {
                            byte[] bytes = buffer.asArray();
                            life.answered();
                            meter.end(units(request, bytes, startedAt));
                            return whole(answer, bytes);
                        });
    }

    /**
     * Returns the true service of a request that ended.
     *
     * @param request The request.
     * @param body The answer's body.
     * @param startedAt When it started.
     * @return The service in units.
     */
    private double units(RoutedRequest request, byte[] body, long startedAt) {
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

    /**
     * Builds the caller's answer from one that was read whole.
     *
     * @param answer The beginning of the answer.
     * @param body Its body.
     * @return The answer for the caller.
     */
    private static RoutedAnswer whole(TargetResponse answer, byte[] body) {
        List<HeaderField> headers = HeaderFields.forCaller(answer.headers());
        return new RoutedAnswer(
                answer.status(),
                headers,
                ChannelSuppliers.ofValue(ByteBuf.wrapForReading(body)),
                true,
                Outcome.RAN);
    }

    /**
     * Makes another attempt if that is safe, or states what is known.
     *
     * @param life The request's life.
     * @param exception Why the attempt failed.
     * @return The answer of another attempt or the failure.
     */
    private Promise<RoutedAnswer> failed(RequestLife life, Exception exception) {
        MartenwellException failure =
                exception instanceof MartenwellException known
                        ? known
                        : MartenwellException.of(
                                ErrorKind.INTERNAL, "The router failed.", exception);
        MartenwellException concluded = life.conclude(failure);
        boolean targetFailed = isTargetFailure(failure.kind());
        if (targetFailed && life.mayRetry() && budget.takeRetry()) {
            metrics.retried();
            return attempt(life);
        }
        log.failed(life.request(), concluded);
        return Promise.ofException(concluded);
    }

    /**
     * Returns whether a failure is a target's, so that another target may do better.
     *
     * @param kind The failure's kind.
     * @return {@code true} if it is.
     */
    private static boolean isTargetFailure(ErrorKind kind) {
        return kind == ErrorKind.TARGET_FAILED
                || kind == ErrorKind.TARGET_REFUSED
                || kind == ErrorKind.TARGET_TIMEOUT;
    }
}
