package org.martenwell.balance;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class AvailabilityTest {

    /** The longest pause that is granted, in milliseconds. */
    private static final long MAX_PAUSE_MILLIS = 300_000;

    private static final List<NoticeSource> SOURCES = List.of(NoticeSource.values());

    private final Availability availability = new Availability();

    @Test
    void testTargetWithoutAnnouncementsAcceptsRequests() {
        assertThat(availability.isAvailable(0)).isTrue();
        assertThat(availability.pauseMillis(0)).isZero();
    }

    @Test
    void testPauseEndsAfterItsTime() {
        assertThat(availability.pause(3_000, 10)).isTrue();
        assertThat(availability.isPaused(3_009)).isTrue();
        assertThat(availability.isPaused(3_010)).isFalse();
    }

    @Test
    void testPauseIsLimited() {
        availability.pause(Long.MAX_VALUE, 10);
        assertThat(availability.pauseMillis(10)).isEqualTo(MAX_PAUSE_MILLIS);
    }

    @Test
    void testOnlyTheFirstAnnouncementOfDrainingCounts() {
        assertThat(availability.markDraining(NoticeSource.PEER, 5)).isTrue();
        assertThat(availability.markDraining(NoticeSource.ANSWER, 9)).isFalse();
        assertThat(availability.drainingSinceMillis()).isEqualTo(5);
    }

    /** Applies announcements in any order, at any time, and compares the state with a model. */
    @Property(tries = 500, seed = "45")
    void testTargetAcceptsRequestsUnlessDrainingOrPaused(
            @ForAll @Size(max = 40) List<@IntRange(min = 0, max = 999) Integer> steps) {
        Availability tested = new Availability();
        long now = 0;
        long latestEnd = 0;
        boolean draining = false;
        for (int step : steps) {
            now += step % 7 * 100L;
            if (step % 10 == 0) {
                draining = true;
                tested.markDraining(SOURCES.get(step % SOURCES.size()), now);
            } else if (step % 3 == 0) {
                long millis = step * 3L;
                latestEnd = Math.max(latestEnd, now + millis);
                tested.pause(millis, now);
            }
            assertThat(tested.isAvailable(now)).isEqualTo(!draining && now >= latestEnd);
            assertThat(tested.pauseMillis(now)).isEqualTo(Math.max(0, latestEnd - now));
        }
    }

    @Test
    void testAvailabilityIsKeptAmongOtherIncarnations() {
        Availabilities all = new Availabilities();
        all.of("one").markDraining(NoticeSource.ANSWER, 0);
        for (int other = 0; other < 2_000; other++) {
            all.of("other-" + other);
        }
        assertThat(all.of("one").isDraining()).isTrue();
    }

    @Test
    void testNumberOfIncarnationsIsLimited() {
        Availabilities all = new Availabilities();
        all.of("one").markDraining(NoticeSource.ANSWER, 0);
        for (int other = 0; other < 3_000; other++) {
            all.of("other-" + other);
        }
        assertThat(all.of("one").isDraining()).isFalse();
    }
}
