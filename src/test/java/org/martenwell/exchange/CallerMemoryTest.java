package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against large bodies that take the memory for short requests as well. */
final class CallerMemoryTest {

    private static final int MAX_BYTES = 1 << 20;

    private final CallerMemory memory = new CallerMemory(MAX_BYTES);

    @Test
    void testLargeBodiesLeaveRoomForShortRequests() {
        fill();
        assertThat(memory.keptBytes()).isBetween(MAX_BYTES / 2L, MAX_BYTES * 3L / 4);
        assertThat(memory.reserve(0, CallerMemory.SHORT_BYTES)).isTrue();
    }

    @Test
    void testShortRequestsTogetherAreBounded() {
        while (memory.reserve(0, CallerMemory.SHORT_BYTES)) {
            assertThat(memory.keptBytes()).isLessThanOrEqualTo(MAX_BYTES);
        }
        assertThat(memory.full()).isTrue();
    }

    @Test
    void testRequestOfManyShortPartsIsNotShort() {
        fill();
        assertThat(memory.reserve(CallerMemory.SHORT_BYTES, 1 << 17)).isFalse();
    }

    @Test
    void testReleasedMemoryIsReservedAgain() {
        fill();
        memory.release((int) memory.keptBytes(), 0);
        assertThat(memory.reserve(0, 1 << 17)).isTrue();
    }

    private void fill() {
        boolean room = true;
        while (room) {
            room = memory.reserve(0, 1 << 17);
        }
    }
}
