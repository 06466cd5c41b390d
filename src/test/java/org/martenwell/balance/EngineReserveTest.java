package org.martenwell.balance;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.service.IpAddress;

class EngineReserveTest {

    private final EngineReserve reserve = new EngineReserve();

    /** Columns: engines, engines that prefills within shares occupy, unreserved engines. */
    @ParameterizedTest
    @CsvSource({
        "6, 0, 6",
        "6, 2.1, 3",
        "6, 5.5, 0",
        "6, 9, 0",
        "3, 2.1, 0",
        "1, 0.4, 1",
        "1, 0.6, 0",
        "2, 0.9, 1",
        "0, 0.1, 0"
    })
    void testReserveCoversThePrefillsWithinShares(
            int engines, double requiredEngines, int unreserved) {
        recordRequests(10, 1_000);
        assertThat(reserve.unreserved(engines(engines), 100 * requiredEngines)).hasSize(unreserved);
    }

    @Test
    void testReserveFollowsThePrefillTime() {
        recordRequests(10, 1_000);
        assertThat(reserve.unreserved(engines(6), 200)).hasSize(4);
        recordRequests(20, 1_000);
        assertThat(reserve.unreserved(engines(6), 200)).hasSize(2);
    }

    @Test
    void testAllGatewaysReserveTheSameEngines() {
        recordRequests(10, 1_000);
        List<TargetLoad> shuffled = engines(6);
        Collections.shuffle(shuffled, new Random(3));
        assertThat(ids(reserve.unreserved(shuffled, 150)))
                .isEqualTo(ids(reserve.unreserved(engines(6), 150)))
                .hasSize(4);
    }

    /** Records many equal requests, until the initial values no longer matter. */
    private void recordRequests(double promptMillis, double cost) {
        for (int request = 0; request < 1_000; request++) {
            reserve.sent(promptMillis, cost);
        }
    }

    private static List<TargetLoad> engines(int count) {
        List<TargetLoad> loads = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            loads.add(
                    new TargetLoad(
                            new DirectoryTarget(
                                    "engine-" + index,
                                    OptionalLong.of(1),
                                    "s",
                                    IpAddress.of("127.0.0.1:1"),
                                    "x",
                                    1,
                                    false)));
        }
        return loads;
    }

    private static List<String> ids(List<TargetLoad> loads) {
        return loads.stream().map(each -> each.target().id()).toList();
    }
}
