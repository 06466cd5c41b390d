package org.martenwell.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Guards against streams that callers take up at a version whose engines new streams fill, and
 * which are refused on arrival or wait behind these.
 */
final class ContinuedStreamsQueueTest {

    private static final String SMALL = "small";

    private static final String LARGE = "large";

    private static final long OBJECTIVE_MILLIS = 1_000;

    private static final long DEADLINE_MILLIS = 10_000;

    private final ForecastQueue<Waiter> queue = new ForecastQueue<>();

    /** The free places by version. */
    private final Map<String, Integer> freePlaces = new HashMap<>();

    private final List<String> sent = new ArrayList<>();

    private final List<String> refused = new ArrayList<>();

    private long now;

    @Test
    void testContinuedStreamIsServedBeforeNewOnesThatWaitLonger() {
        newStream("new", 0);
        now = 100;
        continued("continued", SMALL);
        freePlaces.put(SMALL, 1);
        queue.offerPlaces(now);
        assertThat(sent).containsExactly("continued");
    }

    /** Guards against refusing by a forecast that counts the places of all versions. */
    @Test
    void testContinuedStreamWaitsWhereNewOnesAreRefusedOnArrival() {
        for (int place = 0; place < 20; place++) {
            queue.recordPlace(now);
        }
        for (int waiting = 0; waiting < 100; waiting++) {
            newStream("new-" + waiting, 0.5);
        }
        assertThat(refused).isNotEmpty();
        int refusedBefore = refused.size();
        continued("continued", SMALL);
        assertThat(refused).hasSize(refusedBefore);
        freePlaces.put(SMALL, 1);
        queue.offerPlaces(now);
        assertThat(sent).containsExactly("continued");
    }

    /** Guards against new streams that wait for a version that has places. */
    @Test
    void testContinuedStreamsOfAFullVersionDontHoldUpOthers() {
        for (int waiting = 0; waiting < 50; waiting++) {
            continued("small-" + waiting, SMALL);
        }
        continued("large", LARGE);
        newStream("new", 0.9);
        freePlaces.put(LARGE, 2);
        queue.offerPlaces(now);
        assertThat(sent).containsExactly("large", "new");
        assertThat(refused).isEmpty();
    }

    /** Guards against a request that takes the rank of another one of its organisation. */
    @Test
    void testNewStreamOfTheSameOrganisationKeepsItsRank() {
        continued("continued", SMALL);
        newStream("late", 0.9);
        newStream("early", 0.1);
        queue.offerPlaces(now);
        freePlaces.put(LARGE, 1);
        now = 10;
        queue.offerPlaces(now);
        assertThat(sent).containsExactly("early");
    }

    @Test
    void testContinuedStreamIsRefusedAtTheEndOfItsWait() {
        continued("continued", SMALL);
        for (now = 0; now <= OBJECTIVE_MILLIS; now += 10) {
            queue.offerPlaces(now);
        }
        assertThat(refused).containsExactly("continued");
        assertThat(queue.size()).isZero();
    }

    @Test
    void testQueueOfContinuedStreamsIsBounded() {
        for (int waiting = 0; waiting < ForecastQueue.MAX_WAITING; waiting++) {
            continued("continued-" + waiting, SMALL);
        }
        assertThat(refused).isEmpty();
        continued("last", SMALL);
        assertThat(refused).containsExactly("last");
    }

    private void newStream(String name, double use) {
        arrive(new Waiter(name, new WaitRank(use, 0.96, 0.3, false)));
    }

    private void continued(String name, String version) {
        arrive(new Waiter(name, WaitRank.ofContinued(version, 0.96, 0.3)));
    }

    private void arrive(Waiter waiter) {
        if (queue.skipsSearch(waiter.demand, waiter.rank, now)) {
            waiter.waitUnlessRefused(false);
        } else {
            waiter.search(false);
        }
    }

    /** A stream that is searched for as in a gateway. */
    private final class Waiter implements WaitingRequest {

        private final String name;

        private final WaitRank rank;

        private final WaitDemand demand =
                new WaitDemand(now, OBJECTIVE_MILLIS, now + DEADLINE_MILLIS, 10, 10);

        private Waiter(String name, WaitRank rank) {
            this.name = name;
            this.rank = rank;
        }

        @Override
        public String organisationName() {
            return name.equals("early") ? "early" : "organisation";
        }

        @Override
        public WaitRank rank() {
            return rank;
        }

        @Override
        public void tryAgain() {
            search(true);
        }

        private void search(boolean waited) {
            Optional<String> free =
                    freePlaces.entrySet().stream()
                            .filter(each -> each.getValue() > 0)
                            .map(Map.Entry::getKey)
                            .filter(each -> rank.continued().map(each::equals).orElse(true))
                            .findAny();
            if (free.isPresent()) {
                freePlaces.merge(free.get(), -1, Integer::sum);
                sent.add(name);
                queue.recordPlace(now);
                return;
            }
            queue.searchFailed(demand, rank, true, now);
            waitUnlessRefused(waited);
        }

        private void waitUnlessRefused(boolean waited) {
            queue.decide(demand, rank, waited, now)
                    .ifPresentOrElse(this::refuse, () -> queue.add(this, demand, rank, now));
        }

        @Override
        public void refuse(WaitRefusal refusal) {
            refused.add(name);
        }
    }
}
