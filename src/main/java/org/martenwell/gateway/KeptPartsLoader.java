package org.martenwell.gateway;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Collection;
import org.martenwell.balance.CachedPartUpdate;
import org.martenwell.exchange.Body;
import org.martenwell.exchange.HttpCaller;
import org.martenwell.exchange.HttpReply;
import org.martenwell.exchange.TargetRequestHead;
import org.martenwell.hash.RendezvousHash;
import org.martenwell.prompt.CachedPart;
import org.martenwell.prompt.PromptChain;

/**
 * Asks engines what they keep of prompts after a start, when no peer could tell. Each engine is
 * asked by one gateway, which tells the others, since a list holds an engine's work up.
 */
final class KeptPartsLoader {

    /** How long after its start a gateway asks, in milliseconds: peers have told by then. */
    static final long DELAY_MILLIS = 500;

    /** How long an engine may take to answer, in milliseconds. */
    private static final long CALL_MILLIS = 1_500;

    /** The status of a good answer. */
    private static final int OK = 200;

    /** What all requests share. */
    private final GatewayCore core;

    /** The gateway's name. */
    private final String name;

    /**
     * Creates a loader.
     *
     * @param core What all requests share.
     * @param name The gateway's name.
     */
    KeptPartsLoader(GatewayCore core, String name) {
        this.core = core;
        this.name = name;
    }

    /**
     * Asks the engines of which nothing is known and that fall to this gateway.
     *
     * @param gateways The names of all gateways.
     */
    void load(Collection<String> gateways) {
        for (KnownTarget each : core.targets().all()) {
            boolean engine = core.keptCapacity(each.load()) > 0;
            if (engine && each.load().promptCache().isEmpty() && falls(each, gateways)) {
                ask(each);
            }
        }
    }

    /**
     * Tells whether a target falls to this gateway.
     *
     * @param target The target.
     * @param gateways The names of all gateways.
     * @return {@code true} if this gateway comes first by hash.
     */
    private boolean falls(KnownTarget target, Collection<String> gateways) {
        String id = target.load().target().id();
        long own = RendezvousHash.score(name, id);
        return gateways.stream().allMatch(each -> RendezvousHash.score(each, id) <= own);
    }

    /**
     * Asks an engine, once it does not rest.
     *
     * @param target The engine.
     */
    private void ask(KnownTarget target) {
        long rest = target.load().availability().pauseMillis(core.now());
        if (rest > 0) {
            core.reactor().delayBackground(rest, () -> ask(target));
            return;
        }
        HttpCaller caller = core.targets().caller(target);
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        headers.set(HttpHeaderNames.HOST, target.load().target().address().getHostString());
        TargetRequestHead request =
                new TargetRequestHead(
                        HttpMethod.GET, core.dialect().keptPartsPath(), headers, Body.EMPTY);
        caller.call(request, CALL_MILLIS)
                .whenResult(reply -> take(target, reply))
                .whenComplete(caller::close);
    }

    /**
     * Takes an engine's answer.
     *
     * @param target The engine.
     * @param reply The answer.
     */
    private void take(KnownTarget target, HttpReply reply) {
        if (reply.status() != OK) {
            return;
        }
        String life = target.load().target().life();
        for (CachedPart each : core.dialect().keptParts(reply.body())) {
            long key = PromptChain.key(each.model(), each.part().id());
            long tokens = each.part().tokens();
            target.load().promptCache().put(key, tokens, core.keptCapacity(target.load()));
            core.placed(new CachedPartUpdate(life, key, tokens));
        }
        core.log().changed("kept-parts", life);
    }
}
