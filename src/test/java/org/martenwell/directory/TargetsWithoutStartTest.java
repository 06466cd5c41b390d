package org.martenwell.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.martenwell.service.IpAddress;

final class TargetsWithoutStartTest {

    private final DirectoryTarget withoutStart = target("without-start", OptionalLong.empty());

    private final DirectoryTarget one = target("one", OptionalLong.of(5));

    private final DirectoryTarget two = target("two", OptionalLong.of(6));

    @Test
    void testTargetWithoutStartAmongTargetsWithStartIsReturned() {
        assertThat(TargetsWithoutStart.of(List.of(one, withoutStart, two)))
                .containsExactly(withoutStart);
    }

    @Test
    void testNoneIsReturnedUnlessMostTargetsHaveAStart() {
        assertThat(TargetsWithoutStart.of(List.of(withoutStart))).isEmpty();
        assertThat(TargetsWithoutStart.of(List.of(withoutStart, one))).isEmpty();
        assertThat(TargetsWithoutStart.of(List.of())).isEmpty();
    }

    private static DirectoryTarget target(String id, OptionalLong startMillis) {
        return new DirectoryTarget(
                id, startMillis, "s", IpAddress.of("127.0.0.1:1"), "z", 1, false);
    }
}
