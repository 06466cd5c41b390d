package org.martenwell.gateway;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Collection;
import java.util.List;
import org.martenwell.balance.CachedPartUpdate;
import org.martenwell.error.MartenwellException;
import org.martenwell.exchange.Body;
import org.martenwell.exchange.BufferedResponse;
import org.martenwell.exchange.InternalHttpClient;
import org.martenwell.exchange.OutboundRequest;
import org.martenwell.hash.RendezvousHash;
import org.martenwell.prompt.CachedPart;
import org.martenwell.prompt.PromptChain;

/**
 * Loads the contents of engines' prompt caches after the start of a gateway, if no peer has
 * reported them. Each engine is asked by one gateway, which reports to its peers, because listing
 * its cache delays an engine's other work.
 */
final class CachedPartsLoader {

    /** The delay after the start, in milliseconds; gives peers time to report. */
    static final long STARTUP_DELAY_MILLIS = 500;

    /** The timeout of a request to an engine, in milliseconds. */
    private static final long TIMEOUT_MILLIS = 1_500;

    private static final int OK = 200;

    private final GatewayCore core;

    private final String name;

    /**
     * Creates a loader.
     *
     * @param core The gateway's state.
     * @param name The gateway's name.
     */
    CachedPartsLoader(GatewayCore core, String name) {
        this.core = core;
        this.name = name;
    }

    /**
     * Requests the prompt caches of engines that this gateway owns and of whose caches nothing is
     * known.
     *
     * @param gateways The names of all gateways.
     */
    void load(Collection<String> gateways) {
        for (KnownTarget each : core.targets().all()) {
            boolean engine =
                    core.promptCacheCapacity(each.load()) > 0
                            && !core.targets().isEvacuated(each.load());
            if (engine && each.load().promptCache().isEmpty() && owns(each, gateways)) {
                requestParts(each);
            }
        }
    }

    /**
     * Returns whether this gateway has the highest rendezvous score of all for a target.
     *
     * @param target The target.
     * @param gateways The names of all gateways.
     * @return {@code true} if it is.
     */
    private boolean owns(KnownTarget target, Collection<String> gateways) {
        String id = target.load().target().id();
        long own = RendezvousHash.score(name, id);
        return gateways.stream().allMatch(each -> RendezvousHash.score(each, id) <= own);
    }

    /**
     * Requests the contents of an engine's prompt cache, after its pause if it is paused.
     *
     * @param target The engine.
     */
    private void requestParts(KnownTarget target) {
        long pauseMillis = target.load().availability().pauseMillis(core.now());
        if (pauseMillis > 0) {
            core.reactor().delayBackground(pauseMillis, () -> requestParts(target));
            return;
        }
        InternalHttpClient client = core.targets().createClient(target, core.clock()::millis);
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        headers.set(HttpHeaderNames.HOST, target.load().target().address().getHostString());
        OutboundRequest request =
                new OutboundRequest(
                        HttpMethod.GET, core.dialect().cachedPartsPath(), headers, Body.EMPTY);
        client.call(request, TIMEOUT_MILLIS)
                .whenResult(response -> storeParts(target, response))
                .whenComplete(client::close);
    }

    /**
     * Records the contents of an engine's prompt cache and queues them for the next report to
     * peers.
     *
     * @param target The engine.
     * @param response The engine's response.
     */
    private void storeParts(KnownTarget target, BufferedResponse response) {
        if (response.status() != OK) {
            return;
        }
        String incarnation = target.load().target().incarnation();
        List<CachedPart> cachedParts;
        try {
            cachedParts = core.dialect().parseCachedParts(response.body());
        } catch (MartenwellException unreadable) {
            core.log().targets().cacheReportUnreadable(incarnation, unreadable.getMessage(), true);
            return;
        }
        for (CachedPart each : cachedParts) {
            long key = PromptChain.key(each.model(), each.part().id());
            long tokens = each.part().tokens();
            target.load().promptCache().put(key, tokens, core.promptCacheCapacity(target.load()));
            core.queueCacheUpdate(new CachedPartUpdate(incarnation, key, tokens));
        }
        core.log().changed("kept-parts", incarnation);
    }
}
