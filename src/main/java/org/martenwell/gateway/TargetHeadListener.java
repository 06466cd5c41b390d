package org.martenwell.gateway;

import io.netty.handler.codec.http.HttpResponse;
import org.martenwell.balance.TargetLoad;
import org.martenwell.exchange.ResponseHeadListener;

/** Passes the heads of one target's responses to the listener of all targets. */
final class TargetHeadListener implements ResponseHeadListener {

    private final TargetTableListener listener;

    private final TargetLoad target;

    /**
     * Creates a listener.
     *
     * @param listener Receives the heads.
     * @param target The target.
     */
    TargetHeadListener(TargetTableListener listener, TargetLoad target) {
        this.listener = listener;
        this.target = target;
    }

    @Override
    public void headReceived(HttpResponse head) {
        listener.responseReceived(target, head);
    }

    @Override
    public void unrequested(HttpResponse head) {
        listener.unrequestedResponse(target, head);
    }
}
