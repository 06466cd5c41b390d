package org.martenwell.gateway;

import io.netty.handler.codec.http.HttpResponse;
import org.martenwell.balance.NoticeSource;
import org.martenwell.balance.TargetLoad;

/** Receives changes in the state of targets from a {@link TargetTable}. */
interface TargetTableListener {

    /**
     * Called when a target that isn't draining was removed from the directory or has restarted, or
     * when another target has taken over its address.
     *
     * @param target The crashed target.
     */
    void crashed(KnownTarget target);

    /**
     * Called when a target is first known to be draining.
     *
     * @param incarnation The target's incarnation.
     * @param source The source of the notice.
     */
    void draining(String incarnation, NoticeSource source);

    /**
     * Called when an incarnation of a target is no longer in the directory.
     *
     * @param incarnation The target's incarnation.
     * @param source The source of the notice.
     */
    void unlisted(String incarnation, NoticeSource source);

    /**
     * Called when a target is listed under its id at another version of its software.
     *
     * @param target The target's id.
     */
    void versionChanged(String target);

    /**
     * Called for the head of each response of a target, to callers' requests and to the gateway's
     * own.
     *
     * @param target The target.
     * @param head The head of the response.
     */
    void responseReceived(TargetLoad target, HttpResponse head);

    /**
     * Called for the head of each response of a target that no request awaits, after {@link
     * #responseReceived}.
     *
     * @param target The target.
     * @param head The head of the response.
     */
    void unrequestedResponse(TargetLoad target, HttpResponse head);
}
