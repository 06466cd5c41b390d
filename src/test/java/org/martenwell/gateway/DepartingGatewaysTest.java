package org.martenwell.gateway;

import static org.martenwell.service.Conditions.await;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.version.ServiceVersion;
import org.martenwell.version.StreamOrigin;

/**
 * Guards against losing streams that begin at a gateway which shuts down while others do: they have
 * all left the directory, and serve requests for seconds more.
 */
final class DepartingGatewaysTest {

    private static final ServiceVersion OLD = new ServiceVersion("s", "v1");

    private final ReporterFleet fleet = new ReporterFleet(3, List.of("x"));

    @BeforeEach
    void start() {
        fleet.connect();
        fleet.running().forEach(each -> fleet.run(() -> listTwoVersions(each)));
        fleet.running().forEach(each -> await(() -> fleet.connected(each)));
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Test
    void testStreamOfADepartingGatewayIsKnownToAnother() {
        fleet.leave("x-0");
        fleet.leave("x-1");
        begin("x-0", "a");
        await(() -> known("x-1", "a").equals(Optional.of(OLD)));
    }

    /** Guards against the same in the order in which they left. */
    @Test
    void testStreamOfTheGatewayThatLeftLastIsKnownToTheFirst() {
        fleet.leave("x-0");
        fleet.leave("x-1");
        begin("x-1", "a");
        await(() -> known("x-0", "a").equals(Optional.of(OLD)));
    }

    @Test
    void testGatewayThatStartsLearnsTheStreamsOfOneThatHasEnded() {
        fleet.leave("x-0");
        fleet.leave("x-1");
        begin("x-0", "a");
        await(() -> known("x-1", "a").isPresent());
        fleet.stop("x-0");
        fleet.restart(Set.of("x-2"));
        await(() -> known("x-2", "a").equals(Optional.of(OLD)));
    }

    private void listTwoVersions(String gateway) {
        List<DirectoryTarget> targets = new ArrayList<>();
        for (String each : List.of("v1", "v2")) {
            targets.add(ReporterFleet.ALL_TARGETS.get("t").withVersion(each));
        }
        fleet.core(gateway).streams().list(targets, fleet.now());
    }

    private void begin(String gateway, String attempt) {
        DirectoryTarget target = ReporterFleet.ALL_TARGETS.get("t").withVersion("v1");
        fleet.run(
                () ->
                        fleet.core(gateway)
                                .streams()
                                .began(attempt, target, GatewayCores.route(400)));
    }

    /** Returns the version of a stream that a gateway knows without asking others. */
    private Optional<ServiceVersion> known(String gateway, String attempt) {
        AtomicReference<Optional<ServiceVersion>> known = new AtomicReference<>();
        fleet.run(
                () ->
                        known.set(
                                fleet
                                        .core(gateway)
                                        .streams()
                                        .known(List.of(StreamOrigin.key(attempt)))
                                        .stream()
                                        .map(StreamOrigin::version)
                                        .findAny()));
        return known.get();
    }
}
