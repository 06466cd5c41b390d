package org.martenwell.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against callers who get past their share by naming a stream again and again. */
final class ContinuationGrantsTest {

    private static final long RETENTION_MILLIS = 1_000;

    private static final long STREAM = 7;

    private final ContinuationGrants grants = new ContinuationGrants(RETENTION_MILLIS);

    @Test
    void testStreamGetsFewGrants() {
        assertThat(taken(10, "a", 0)).isEqualTo(ContinuationGrants.MAX_GRANTS);
        assertThat(grants.take(STREAM + 1, "a", 0)).isTrue();
    }

    @Test
    void testOtherOrganisationGetsNoneForAStreamThatBeganHere() {
        grants.began(STREAM, "a", 0);
        assertThat(grants.take(STREAM, "b", 0)).isFalse();
        assertThat(grants.take(STREAM, "a", 0)).isTrue();
    }

    @Test
    void testOtherOrganisationGetsNoneBehindTheFirst() {
        assertThat(grants.take(STREAM, "a", 0)).isTrue();
        assertThat(grants.take(STREAM, "b", 0)).isFalse();
    }

    /** Guards against streams that use up their grants while they wait and are refused. */
    @Test
    void testGrantOfARequestThatWasNotSentCanBeTakenAgain() {
        for (int refused = 0; refused < 10; refused++) {
            assertThat(grants.take(STREAM, "a", 0)).isTrue();
            grants.giveBack(STREAM, 0);
        }
        assertThat(taken(10, "a", 0)).isEqualTo(ContinuationGrants.MAX_GRANTS);
    }

    /** Guards against new grants for a stream that goes on using those it has. */
    @Test
    void testGrantsAreCountedForARetentionBehindTheLastUse() {
        taken(ContinuationGrants.MAX_GRANTS, "a", 0);
        long now = 0;
        while (now < 10 * RETENTION_MILLIS) {
            now += RETENTION_MILLIS - 1;
            assertThat(grants.take(STREAM, "a", now)).as("at %d ms", now).isFalse();
        }
        assertThat(grants.take(STREAM, "a", now + 2 * RETENTION_MILLIS)).isTrue();
    }

    @Test
    void testStreamsAreForgotten() {
        for (int stream = 0; stream < 100; stream++) {
            grants.began(stream, "a", 0);
        }
        grants.began(STREAM, "a", 2 * RETENTION_MILLIS);
        assertThat(grants.size()).isEqualTo(1);
    }

    private int taken(int requests, String organisation, long now) {
        int taken = 0;
        for (int request = 0; request < requests; request++) {
            taken += grants.take(STREAM, organisation, now) ? 1 : 0;
        }
        return taken;
    }
}
