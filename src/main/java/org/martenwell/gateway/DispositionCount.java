package org.martenwell.gateway;

import org.martenwell.share.Disposition;
import org.martenwell.share.RefusalReason;

/** Counts the arrival of one model request and what became of it, for the log. */
final class DispositionCount {

    private final GatewayCore core;

    /** The cost of the request in tokens, 0 if the caller stated no prompt. */
    private final double costTokens;

    private boolean ended;

    /**
     * Creates a count for a request.
     *
     * @param core The state that all requests share.
     * @param metadata The metadata of the request.
     */
    DispositionCount(GatewayCore core, RequestMetadata metadata) {
        this.core = core;
        this.costTokens = metadata.generation().map(GenerationMetadata::cost).orElse(0.0);
    }

    /**
     * Counts the arrival of the request.
     *
     * @param organisation The caller's organisation or an empty string.
     */
    void requested(String organisation) {
        if (costTokens > 0) {
            core.dispositions().requested(organisation, costTokens);
        }
    }

    /**
     * Counts a refusal of the request.
     *
     * @param organisation The caller's organisation or an empty string.
     * @param reason The decision that refused it.
     */
    void refused(String organisation, RefusalReason reason) {
        if (costTokens > 0) {
            core.dispositions().refused(organisation, costTokens, reason);
        }
    }

    /**
     * Counts what became of the request, once.
     *
     * @param organisation The caller's organisation or an empty string.
     * @param disposition The disposition.
     */
    void ended(String organisation, Disposition disposition) {
        if (!ended && costTokens > 0) {
            core.dispositions().ended(organisation, costTokens, disposition);
        }
        ended = true;
    }
}
