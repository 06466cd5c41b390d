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

/**
 * Runs each request with an idempotency key at most once over the fleet. A repeated request gets
 * the stored response of the first.
 */
public final class IdempotencyGuard {

    /** Response header that marks a stored response. */
    private static final String REPEATED_HEADER = "X-Repeated";

    /** Delay after which a caller may repeat a request whose claim is undecided. */
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private static final Logger LOGGER = LogManager.getLogger(IdempotencyGuard.class);

    private final ClaimLedger ledger;

    private final RequestDispatcher dispatcher;

    /**
     * Creates a guard.
     *
     * @param ledger The claims of idempotency keys.
     * @param dispatcher The dispatcher that runs claimed requests.
     */
    public IdempotencyGuard(ClaimLedger ledger, RequestDispatcher dispatcher) {
        this.ledger = ledger;
        this.dispatcher = dispatcher;
    }

    /**
     * Runs a request unless its key is already claimed; otherwise responds according to the
     * existing claim.
     *
     * @param request The request. It must not be marked as repeatable.
     * @param key The idempotency key.
     * @return The response. Fails with {@link ErrorKind#CLAIM_IN_FLIGHT}, {@link
     *     ErrorKind#ALREADY_RAN} or {@link ErrorKind#CLAIM_UNAVAILABLE}, or as the dispatcher does.
     */
    public Promise<RoutedResponse> dispatch(RoutedRequest request, IdempotencyKey key) {
        String scope = request.organisation().name() + "/" + request.pool().name();
        String id = request.message().id();
        return ledger.claim(scope, key, id)
                .then(
                        existing ->
                                existing.isPresent()
                                        ? respondFromClaim(existing.get())
                                        : runClaimed(request, scope, key),
                        exception -> rejectUnclaimed(scope, key, id, exception));
    }

    private Promise<RoutedResponse> runClaimed(
            RoutedRequest request, String scope, IdempotencyKey key) {
        String id = request.message().id();
        return dispatcher
                .dispatch(request)
                .then(
                        response -> recordResponse(response, scope, key, id),
                        exception -> {
                            if (exception instanceof MartenwellException known
                                    && known.outcome() == Outcome.NOT_RUN) {
                                ledger.release(scope, key, id);
                            }
                            return Promise.ofException(exception);
                        });
    }

    /**
     * Stores a complete response in the ledger. The response is returned without waiting for the
     * write.
     */
    private Promise<RoutedResponse> recordResponse(
            RoutedResponse response, String scope, IdempotencyKey key, String id) {
        return response.body()
                .get()
                .map(
                        buffer -> {
                            byte[] body = buffer == null ? new byte[0] : buffer.asArray();
                            String type =
                                    HeaderFields.find(response.headers(), "Content-Type")
                                            .orElse("");
                            String encoded = Base64.getEncoder().encodeToString(body);
                            ledger.recordResponse(
                                            scope,
                                            key,
                                            id,
                                            new StoredResponse(response.status(), type, encoded))
                                    .whenException(exception -> logUnrecorded(id));
                            return new RoutedResponse(
                                    response.status(),
                                    response.headers(),
                                    ChannelSuppliers.ofValue(ByteBuf.wrapForReading(body)),
                                    true,
                                    Outcome.RAN);
                        });
    }

    /**
     * Logs that the response of a request that ran may be missing in the ledger; a repeated request
     * then fails with {@link ErrorKind#CLAIM_IN_FLIGHT}.
     */
    private static void logUnrecorded(String id) {
        LOGGER.warn(LogEvent.of("ledger-answer-lost").with("request", id).message());
    }

    private static Promise<RoutedResponse> respondFromClaim(Claim claim) {
        Optional<StoredResponse> stored = claim.answer();
        if (stored.isPresent()) {
            return Promise.of(toResponse(stored.get()));
        }
        return Promise.ofException(
                switch (claim.state()) {
                    case RAN ->
                            MartenwellException.of(
                                    ErrorKind.ALREADY_RAN,
                                    "The request ran, but its response was too large to store.");
                    case CLAIMED ->
                            MartenwellException.of(
                                            ErrorKind.CLAIM_IN_FLIGHT,
                                            "An earlier request with this key runs or was aborted.")
                                    .withRetryAfter(RETRY_AFTER_MILLIS);
                });
    }

    private static RoutedResponse toResponse(StoredResponse stored) {
        byte[] body = Base64.getDecoder().decode(stored.body());
        return new RoutedResponse(
                stored.status(),
                List.of(
                        new HeaderField("Content-Type", stored.contentType()),
                        new HeaderField(REPEATED_HEADER, "true")),
                ChannelSuppliers.ofValue(ByteBuf.wrapForReading(body)),
                true,
                Outcome.RAN);
    }

    /**
     * Rejects a request whose claim could not be stored. As the write may have taken effect, the
     * claim is also released.
     */
    private Promise<RoutedResponse> rejectUnclaimed(
            String scope, IdempotencyKey key, String id, Exception exception) {
        ledger.release(scope, key, id);
        return Promise.ofException(
                MartenwellException.of(
                                ErrorKind.CLAIM_UNAVAILABLE,
                                "The claim of the Idempotency-Key could not be stored.",
                                exception)
                        .withRetryAfter(RETRY_AFTER_MILLIS));
    }
}
