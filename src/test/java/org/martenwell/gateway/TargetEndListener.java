package org.martenwell.gateway;

import io.netty.handler.codec.http.HttpResponse;
import java.util.function.Consumer;
import org.martenwell.balance.NoticeSource;
import org.martenwell.balance.TargetLoad;

/** Listener that forwards only the end of targets, for tests. */
record TargetEndListener(Consumer<KnownTarget> crashed) implements TargetTableListener {

    @Override
    public void crashed(KnownTarget target) {
        crashed.accept(target);
    }

    @Override
    public void leaves(String incarnation, NoticeSource source) {}

    @Override
    public void answered(TargetLoad target, HttpResponse head) {}
}
