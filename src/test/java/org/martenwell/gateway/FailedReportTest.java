package org.martenwell.gateway;

import static org.martenwell.service.Conditions.await;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.martenwell.balance.CachedPartUpdate;
import org.martenwell.balance.RunningRequest;
import org.martenwell.balance.TargetLoad;

/** Guards against gateways that send no reports after one that failed, as for lack of memory. */
final class FailedReportTest {

    private static final String SENDER = "x-0";

    private final ReporterFleet fleet = new ReporterFleet(2, List.of("x"));

    @AfterEach
    void stop() {
        fleet.close();
    }

    /** A message that can't be written stands for a lack of memory. */
    @Test
    void testGatewayReportsAfterAFailedReport() throws InterruptedException {
        fleet.connect();
        fleet.run(() -> load(SENDER).sent(new RunningRequest(5, 7, 0, 0)));
        await(() -> requestsKnownAtPeer() == 1);
        fleet.run(() -> fleet.core(SENDER).queueCacheUpdate(new CachedPartUpdate(null, 1, 1)));
        TimeUnit.MILLISECONDS.sleep(500);
        fleet.run(() -> load(SENDER).sent(new RunningRequest(5, 7, 0, 0)));
        await(() -> requestsKnownAtPeer() == 2);
    }

    private int requestsKnownAtPeer() {
        return load("x-1").totalLoad(fleet.now()).requests();
    }

    private TargetLoad load(String gateway) {
        return fleet.core(gateway).targets().find("t").orElseThrow().load();
    }
}
