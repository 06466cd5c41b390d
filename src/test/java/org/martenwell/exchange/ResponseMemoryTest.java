package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against responses that fill the heap together though each of them is bounded. */
final class ResponseMemoryTest {

    private static final int PIECE_BYTES = 16_384;

    private final ResponseMemory memory = new ResponseMemory(12 << 20);

    @Test
    void testOneResponseIsBounded() {
        assertThat(memory.reserve(0, ResponseMemory.MAX_RESPONSE_BYTES)).isTrue();
        assertThat(memory.reserve(ResponseMemory.MAX_RESPONSE_BYTES, 1)).isFalse();
    }

    @Test
    void testAllResponsesTogetherAreBounded() {
        for (int response = 0; response < 100; response++) {
            int kept = 0;
            while (memory.reserve(kept, PIECE_BYTES)) {
                kept += PIECE_BYTES;
            }
        }
        assertThat(memory.usedBytes()).isLessThanOrEqualTo((12 << 20) + 100 * 32_768);
    }

    @Test
    void testSmallResponseIsKeptBesideLargeOnes() {
        for (int response = 0; response < 3; response++) {
            assertThat(memory.reserve(0, ResponseMemory.MAX_RESPONSE_BYTES)).isTrue();
        }
        assertThat(memory.reserve(0, PIECE_BYTES)).isTrue();
        assertThat(memory.reserve(0, ResponseMemory.MAX_RESPONSE_BYTES)).isFalse();
    }

    @Test
    void testReleasedMemoryIsUsedAgain() {
        assertThat(memory.reserve(0, ResponseMemory.MAX_RESPONSE_BYTES)).isTrue();
        memory.release(ResponseMemory.MAX_RESPONSE_BYTES);
        assertThat(memory.usedBytes()).isZero();
    }
}
