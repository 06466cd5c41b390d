package org.martenwell.gateway;

import java.util.Optional;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import org.martenwell.share.AdmissionShares;
import org.martenwell.share.RefusalReason;

/**
 * Refuses new requests of a gateway at its limits. Its heap, the lag of its event loop and its
 * processor time determine the fraction, of which the largest counts, since one overload shows in
 * each of them; the organisations that request the most bear it.
 */
final class OverloadLimiter {

    /** Returns whether the heap has no room for another request. */
    private final BooleanSupplier heapFull;

    /** Returns the fraction of requests to refuse for the lag of the event loop. */
    private final DoubleSupplier lagFraction;

    /** Returns the fraction of requests to refuse for lack of processor time. */
    private final DoubleSupplier processorFraction;

    private final AdmissionShares shares;

    /** Selects the requests to refuse. */
    private final Random random;

    /**
     * Creates a limiter.
     *
     * @param heapFull Returns whether the heap has no room for another request.
     * @param lagFraction Returns the fraction to refuse for the lag of the event loop.
     * @param processorFraction Returns the fraction to refuse for lack of processor time.
     * @param shares Divides the admitted requests among organisations.
     * @param random Selects the requests to refuse.
     */
    OverloadLimiter(
            BooleanSupplier heapFull,
            DoubleSupplier lagFraction,
            DoubleSupplier processorFraction,
            AdmissionShares shares,
            Random random) {
        this.heapFull = heapFull;
        this.lagFraction = lagFraction;
        this.processorFraction = processorFraction;
        this.shares = shares;
        this.random = random;
    }

    /** {@return {@code true} while a part of new requests is refused} */
    boolean refusing() {
        return heapFull.getAsBoolean()
                || lagFraction.getAsDouble() > 0
                || processorFraction.getAsDouble() > 0;
    }

    /**
     * Records a request that arrived and decides whether to refuse it.
     *
     * @param organisation The organisation or an empty string.
     * @param tokens The cost of the request, in tokens, 0 without a prompt.
     * @param now The current time, in milliseconds.
     * @return The limit that the request exceeds, or empty.
     */
    Optional<RefusalReason> refusal(String organisation, double tokens, long now) {
        shares.requested(organisation, tokens, now);
        if (heapFull.getAsBoolean()) {
            return Optional.of(RefusalReason.HEAP);
        }
        double lag = lagFraction.getAsDouble();
        double processor = processorFraction.getAsDouble();
        double refused = shares.refusedFraction(organisation, Math.max(lag, processor), now);
        if (refused <= 0 || random.nextDouble() >= refused) {
            return Optional.empty();
        }
        return Optional.of(lag >= processor ? RefusalReason.LOOP_LAG : RefusalReason.PROCESSOR);
    }

    /**
     * Records a request that arrived and continues an admitted stream, and decides whether to
     * refuse it. New requests make room for it, of which its organisation has to bear more.
     *
     * @param organisation The organisation or an empty string.
     * @param tokens The cost of the request, in tokens, 0 without a prompt.
     * @param now The current time, in milliseconds.
     * @return {@link RefusalReason#HEAP} if there is no room for any request, else empty.
     */
    Optional<RefusalReason> refusalOfContinued(String organisation, double tokens, long now) {
        shares.requested(organisation, tokens, now);
        return heapFull.getAsBoolean() ? Optional.of(RefusalReason.HEAP) : Optional.empty();
    }
}
