package org.martenwell.gateway;

import io.netty.handler.codec.http.HttpResponse;
import org.martenwell.balance.NoticeSource;
import org.martenwell.balance.TargetLoad;

/** Receives changes in the state of targets from a {@link TargetTable}. */
interface TargetTableListener {

    /**
     * Called when a target is gone from the directory or has restarted without having drained, or
     * when another target has taken over its address.
     *
     * @param target The crashed target.
     */
    void crashed(KnownTarget target);

    /**
     * Called when a target is first known to drain.
     *
     * @param incarnation The target's incarnation.
     * @param source The origin of that knowledge.
     */
    void leaves(String incarnation, NoticeSource source);

    /**
     * Called for the head of each response of a target, whatever request it answers.
     *
     * @param target The target.
     * @param head The head of the response.
     */
    void answered(TargetLoad target, HttpResponse head);
}
