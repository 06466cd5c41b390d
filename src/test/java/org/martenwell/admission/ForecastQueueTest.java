package org.martenwell.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the order in which places are offered, and the number of searches that it takes. */
final class ForecastQueueTest {

    private static final long OBJECTIVE = 1_000;

    private static final long DEADLINE = 20_000;

    private final ForecastQueue<Waiter> queue = new ForecastQueue<>();

    /** The requests that were searched for, in order. */
    private final List<String> searched = new ArrayList<>();

    private final List<String> refused = new ArrayList<>();

    /** The number of places that searches find. */
    private int freePlaces;

    private long now;

    @Test
    void testOrganisationWithLeastUseIsFirst() {
        add("much", "a", 0.9, 0, 10);
        add("little", "b", 0.1, 50, 10);
        freePlaces = 2;
        queue.offerPlaces(now);
        assertThat(searched).containsExactly("little", "much");
    }

    @Test
    void testEarliestLatestTimeIsFirstWithinOrganisation() {
        add("later", "a", 0.5, 100, 10);
        add("earlier", "a", 0.5, 0, 10);
        freePlaces = 2;
        queue.offerPlaces(now);
        assertThat(searched).containsExactly("earlier", "later");
    }

    @Test
    void testRequestThatCanNoLongerBeInTimeIsLast() {
        now = 100;
        addWithFirstEvent("hopeless", 2_000);
        addWithFirstEvent("in time", 10);
        freePlaces = 2;
        queue.offerPlaces(now);
        assertThat(searched).containsExactly("in time", "hopeless");
    }

    /** Guards against looking at all engines for each waiting request in each pass. */
    @Test
    void testEqualRequestsAreSearchedForOnce() {
        for (int index = 0; index < 400; index++) {
            add("r" + index, "a", 0.5, index / 10, 10);
        }
        queue.offerPlaces(now);
        assertThat(searched).hasSize(1);
        assertThat(queue.size()).isEqualTo(400);
    }

    /** Guards against holding back a small request behind a large one that finds no engine. */
    @Test
    void testSmallerRequestIsSearchedFor() {
        add("large", "a", 0.5, 0, 1_000);
        add("equal", "a", 0.5, 1, 1_000);
        add("small", "a", 0.5, 2, 10);
        queue.offerPlaces(now);
        assertThat(searched).containsExactly("large", "small");
    }

    /** Guards against as many searches as sizes. */
    @Test
    void testSearchesWithoutResultAreBounded() {
        for (int index = 0; index < 100; index++) {
            add("r" + index, "a", 0.5, index, 1_000 - index);
        }
        queue.offerPlaces(now);
        assertThat(searched).hasSize(8);
    }

    /** Guards against new requests that take places before those that wait. */
    @Test
    void testNewRequestDoesNotOvertake() {
        add("first", "a", 0.5, 0, 10);
        queue.offerPlaces(now);
        Waiter added = new Waiter("new", "a", 0.5);
        assertThat(queue.skipsSearch(demand(5, 10, 10), added.rank(), now)).isTrue();
        assertThat(queue.skipsSearch(demand(5, 10, 5), added.rank(), now)).isFalse();
        freePlaces = 1;
        queue.offerPlaces(now);
        assertThat(queue.skipsSearch(demand(5, 10, 10), added.rank(), now)).isFalse();
    }

    /** A refused request must not have been sent, and a request is refused only once. */
    @Test
    void testRequestIsRefusedOnceAtTheEndOfItsWait() {
        add("one", "a", 0.5, 0, 10);
        add("two", "a", 0.5, 0, 10);
        now = OBJECTIVE;
        queue.offerPlaces(now);
        queue.offerPlaces(now);
        assertThat(refused).containsExactly("one", "two");
        assertThat(queue.size()).isZero();
    }

    @Test
    void testLengthIsBounded() {
        recordPlaces(1_000);
        for (int index = 0; index < ForecastQueue.MAX_WAITING; index++) {
            add("r" + index, "a", 0.5, 0, 10);
        }
        Waiter added = new Waiter("new", "b", 0);
        assertThat(queue.decide(demand(0, 10, 10), added.rank(), false, now)).isPresent();
    }

    /**
     * Guards against an estimate that starts anew because the queue is empty while its only request
     * is tried.
     */
    @Test
    void testBacklogContinuesWhileItsOnlyRequestIsTried() {
        recordPlaces(100);
        add("only", "a", 0.5, 0, 10);
        for (now = 0; now < 800; now += 5) {
            queue.offerPlaces(now);
        }
        // 100 places per second before, of which 0.25 s count, and none in 0.8 s since.
        WaitRefusal refusal =
                queue.decide(demand(0, 10, 10), new Waiter("x", "a", 0.5).rank(), false, 800)
                        .orElseThrow();
        assertThat(refusal.forecastMillis()).isEqualTo(84);
    }

    private void recordPlaces(int count) {
        for (int index = 0; index < count; index++) {
            queue.recordPlace(now);
        }
    }

    private void add(String name, String organisation, double use, long arrived, long tokens) {
        Waiter waiter = new Waiter(name, organisation, use);
        waiter.demand = demand(arrived, 10, tokens);
        queue.add(waiter, waiter.demand, waiter.rank(), now);
    }

    private void addWithFirstEvent(String name, double firstEventMillis) {
        Waiter waiter = new Waiter(name, "a", 0.5);
        waiter.demand = demand(0, firstEventMillis, 10);
        queue.add(waiter, waiter.demand, waiter.rank(), now);
    }

    private static WaitDemand demand(long arrived, double firstEventMillis, long tokens) {
        return new WaitDemand(arrived, OBJECTIVE, DEADLINE, firstEventMillis, tokens);
    }

    /** A request that is searched for as in a gateway. */
    private final class Waiter implements WaitingRequest {

        private final String name;

        private final String organisation;

        private final double use;

        private WaitDemand demand;

        private Waiter(String name, String organisation, double use) {
            this.name = name;
            this.organisation = organisation;
            this.use = use;
        }

        @Override
        public String organisationName() {
            return organisation;
        }

        @Override
        public WaitRank rank() {
            return new WaitRank(use, 0.96, 0.3, false);
        }

        @Override
        public void tryAgain() {
            searched.add(name);
            if (freePlaces > 0) {
                freePlaces--;
                queue.recordPlace(now);
                return;
            }
            queue.searchFailed(demand, rank(), true, now);
            queue.decide(demand, rank(), true, now)
                    .ifPresentOrElse(this::refuse, () -> queue.add(this, demand, rank(), now));
        }

        @Override
        public void refuse(WaitRefusal refusal) {
            refused.add(name);
        }
    }
}
