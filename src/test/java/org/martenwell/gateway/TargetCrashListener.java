package org.martenwell.gateway;

import io.netty.handler.codec.http.HttpResponse;
import java.util.function.Consumer;
import org.martenwell.balance.NoticeSource;
import org.martenwell.balance.TargetLoad;

/** Listener for tests that forwards only crashes of targets. */
record TargetCrashListener(Consumer<KnownTarget> crashed) implements TargetTableListener {

    @Override
    public void crashed(KnownTarget target) {
        crashed.accept(target);
    }

    @Override
    public void draining(String incarnation, NoticeSource source) {}

    @Override
    public void unlisted(String incarnation, NoticeSource source) {}

    @Override
    public void versionChanged(String target) {}

    @Override
    public void unrequestedResponse(TargetLoad target, HttpResponse head) {}

    @Override
    public void responseReceived(TargetLoad target, HttpResponse head) {}
}
