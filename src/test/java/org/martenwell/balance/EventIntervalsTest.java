package org.martenwell.balance;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

/** Guards against speeds of engines that follow delays which have other causes. */
final class EventIntervalsTest {

    private final EventIntervals intervals = new EventIntervals();

    private long now = 1_000;

    @Test
    void testIntervalOfAnUndisturbedResponse() {
        assertThat(receive(30, 30, 30, 30, 30, 30, 30)).hasValue(30);
    }

    /** Guards against an engine that counts as slow because it processes prompts meanwhile. */
    @Test
    void testIntervalsDuringAPrefillDoNotCount() {
        assertThat(receive(0, 30, 170, 30, 170, 170, 30)).hasValue(30);
    }

    /** Guards against an engine that counts as fast because its events arrive together. */
    @Test
    void testEventsThatArriveTogetherDoNotCount() {
        assertThat(receive(0, 60, 0, 1, 60, 0, 60, 60)).isEmpty();
        assertThat(receive(60, 60)).hasValue(60);
    }

    @Test
    void testEachGroupIsASample() {
        assertThat(receive(0, 30, 30, 30, 30, 30, 30)).hasValue(30);
        assertThat(receive(50, 50, 50, 50, 50)).isEmpty();
        assertThat(receive(50)).hasValue(50);
    }

    /** Returns the result for the last event of some that arrive after these delays. */
    private OptionalDouble receive(long... delays) {
        OptionalDouble result = OptionalDouble.empty();
        for (long each : delays) {
            now += each;
            result = intervals.received(now);
        }
        return result;
    }
}
