package org.martenwell.peer;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a connection to each peer that keeps the memory of its largest message. */
class OutputBufferTest {

    private final OutputBuffer buffer = new OutputBuffer();

    @Test
    void testBytesAreTakenInOrder() {
        buffer.write(new byte[] {1, 2});
        buffer.write(new byte[] {3});
        assertThat(buffer.size()).isEqualTo(3);
        assertThat(buffer.takeAll()).containsExactly(1, 2, 3);
        assertThat(buffer.size()).isZero();
        assertThat(buffer.takeAll()).isEmpty();
    }

    @Test
    void testMemoryOfALargeMessageIsReleased() {
        buffer.write(new byte[1_000_000]);
        assertThat(buffer.takeAll()).hasSize(1_000_000);
        assertThat(buffer.capacity()).isLessThanOrEqualTo(OutputBuffer.RETAINED_BYTES);
    }

    @Test
    void testMemoryOfSmallMessagesIsReused() {
        buffer.write(new byte[1_000]);
        buffer.takeAll();
        assertThat(buffer.capacity()).isGreaterThanOrEqualTo(1_000);
    }
}
