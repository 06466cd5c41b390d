package org.martenwell.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.martenwell.service.IpAddress;

final class UndatedTargetsTest {

    private final DirectoryTarget undated = target("undated", OptionalLong.empty());

    private final DirectoryTarget one = target("one", OptionalLong.of(5));

    private final DirectoryTarget two = target("two", OptionalLong.of(6));

    @Test
    void testTargetThatLacksItsStartAmongOthersThatTellTheirsIsFound() {
        assertThat(UndatedTargets.of(List.of(one, undated, two))).containsExactly(undated);
    }

    @Test
    void testNoneIsFoundWhereTargetsDoNotTell() {
        assertThat(UndatedTargets.of(List.of(undated))).isEmpty();
        assertThat(UndatedTargets.of(List.of(undated, one))).isEmpty();
        assertThat(UndatedTargets.of(List.of())).isEmpty();
    }

    private static DirectoryTarget target(String id, OptionalLong bornMillis) {
        return new DirectoryTarget(id, bornMillis, "s", IpAddress.of("127.0.0.1:1"), "z", 1, false);
    }
}
