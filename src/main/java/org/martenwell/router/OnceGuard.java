package org.martenwell.router;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.promise.Promise;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.error.Outcome;
import org.martenwell.http.HeaderField;
import org.martenwell.http.HeaderFields;
import org.martenwell.observe.LogEvent;
import org.martenwell.once.Claim;
import org.martenwell.once.ClaimLedger;
import org.martenwell.once.IdempotencyKey;
import org.martenwell.once.StoredResponse;

/** Lets a request with an idempotency key run at most once over the fleet. */
public final class OnceGuard {

    /** Tells a caller that an answer is a kept one. */
    private static final String REPEATED = "X-Repeated";

    /** When a caller should ask again about a request in flight, in milliseconds. */
    private static final long IN_FLIGHT_MILLIS = 1_000;

    /** The log. */
    private static final Logger LOGGER = LogManager.getLogger(OnceGuard.class);

    /** The claims. */
    private final ClaimLedger ledger;

    /** Brings requests to targets. */
    private final RequestDispatcher dispatcher;

    /**
     * Creates a guard.
     *
     * @param ledger The claims.
     * @param dispatcher Brings requests to targets.
     */
    public OnceGuard(ClaimLedger ledger, RequestDispatcher dispatcher) {
        this.ledger = ledger;
        this.dispatcher = dispatcher;
    }

    /**
     * Runs a request if no other with its key did, or answers with what is known.
     *
     * @param request The request, which must not be repeated.
     * @param key Its key.
     * @return The answer.
     */
    public Promise<RoutedAnswer> dispatch(RoutedRequest request, IdempotencyKey key) {
        String scope = request.organisation().name() + "/" + request.pool().name();
        String id = request.message().id();
        return ledger.claim(scope, key, id)
                .then(
                        other -> other.isPresent() ? known(other.get()) : run(request, scope, key),
                        exception -> unclaimed(scope, key, id, exception));
    }

    /**
     * Runs a request that has the claim.
     *
     * @param request The request.
     * @param scope The organisation and service.
     * @param key The key.
     * @return The answer.
     */
    private Promise<RoutedAnswer> run(RoutedRequest request, String scope, IdempotencyKey key) {
        String id = request.message().id();
        return dispatcher
                .dispatch(request)
                .then(
                        answer -> record(answer, scope, key, id),
                        exception -> {
                            if (exception instanceof MartenwellException known
                                    && known.outcome() == Outcome.NOT_RUN) {
                                ledger.release(scope, key, id);
                            }
                            return Promise.ofException(exception);
                        });
    }

    /**
     * Records that a request ran and passes its answer on. Recording does not hold the answer back.
     *
     * @param answer The answer, which has arrived whole.
     * @param scope The organisation and service.
     * @param key The key.
     * @param id The request's id.
     * @return The answer.
     */
    private Promise<RoutedAnswer> record(
            RoutedAnswer answer, String scope, IdempotencyKey key, String id) {
        return answer.body()
                .get()
                .map(
                        buffer -> {
                            byte[] body = buffer == null ? new byte[0] : buffer.asArray();
                            String type =
                                    HeaderFields.find(answer.headers(), "Content-Type").orElse("");
                            String encoded = Base64.getEncoder().encodeToString(body);
                            ledger.ran(
                                            scope,
                                            key,
                                            id,
                                            new StoredResponse(answer.status(), type, encoded))
                                    .whenException(exception -> logLost(id));
                            return new RoutedAnswer(
                                    answer.status(),
                                    answer.headers(),
                                    ChannelSuppliers.ofValue(ByteBuf.wrapForReading(body)),
                                    true,
                                    Outcome.RAN);
                        });
    }

    /**
     * Logs that a ledger does not know of a request that ran; its repeats are told {@code unknown}.
     *
     * @param id The request's id.
     */
    private static void logLost(String id) {
        LOGGER.warn(LogEvent.of("ledger-answer-lost").with("request", id).message());
    }

    /**
     * Answers with what is known of an earlier request with the same key.
     *
     * @param claim The earlier request's claim.
     * @return The kept answer or the error that tells.
     */
    private static Promise<RoutedAnswer> known(Claim claim) {
        Optional<StoredResponse> kept = claim.answer();
        if (kept.isPresent()) {
            return Promise.of(keptAnswer(kept.get()));
        }
        return Promise.ofException(
                switch (claim.state()) {
                    case RAN ->
                            MartenwellException.of(
                                    ErrorKind.ALREADY_RAN,
                                    "The request ran; its answer was too large to keep.");
                    case CLAIMED ->
                            MartenwellException.of(
                                            ErrorKind.CLAIM_IN_FLIGHT,
                                            "An earlier request with this key runs or was cut off.")
                                    .withRetryAfter(IN_FLIGHT_MILLIS);
                });
    }

    /**
     * Builds the answer of a repeat.
     *
     * @param kept The kept answer.
     * @return The answer.
     */
    private static RoutedAnswer keptAnswer(StoredResponse kept) {
        byte[] body = Base64.getDecoder().decode(kept.body());
        return new RoutedAnswer(
                kept.status(),
                List.of(
                        new HeaderField("Content-Type", kept.contentType()),
                        new HeaderField(REPEATED, "true")),
                ChannelSuppliers.ofValue(ByteBuf.wrapForReading(body)),
                true,
                Outcome.RAN);
    }

    /**
     * Refuses a request whose claim could not be written. It certainly does not run; its claim,
     * which may have taken effect, is given up once the platform answers again.
     *
     * @param scope The organisation and service.
     * @param key The key.
     * @param id The request's id.
     * @param exception Why there is no claim.
     * @return The refusal.
     */
    private Promise<RoutedAnswer> unclaimed(
            String scope, IdempotencyKey key, String id, Exception exception) {
        ledger.release(scope, key, id);
        return Promise.ofException(
                MartenwellException.of(
                                ErrorKind.CLAIM_UNAVAILABLE,
                                "The platform did not take the claim.",
                                exception)
                        .withRetryAfter(IN_FLIGHT_MILLIS));
    }
}
