package org.martenwell.gateway;

import io.netty.handler.codec.http.HttpResponse;
import org.martenwell.balance.NoticeSource;
import org.martenwell.balance.TargetLoad;

/** Is told what becomes known of targets. */
interface TargetTableListener {

    /**
     * Called for a target that ended without having said that it leaves.
     *
     * @param target The target.
     */
    void ended(KnownTarget target);

    /**
     * Called when a target is first known to leave.
     *
     * @param life The target's life.
     * @param source From where that is known.
     */
    void leaves(String life, NoticeSource source);

    /**
     * Called for the head of each answer, whatever the target was asked.
     *
     * @param target The target.
     * @param head The head.
     */
    void answered(TargetLoad target, HttpResponse head);
}
