package org.martenwell.member;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.martenwell.objects.Box;
import org.martenwell.objects.BoxRole;
import org.martenwell.objects.BoxState;

class MembershipTest {

    private final Membership membership = new Membership("self", MembershipParameters.DEFAULTS);

    @Test
    void testListedRouterIsNoMemberWithoutAHeartbeat() {
        membership.replaceListedRouters(
                List.of(new Box("peer", BoxRole.ROUTER, "127.0.0.1:1", "a", BoxState.LIVE)));
        assertThat(membership.names()).containsExactly("self");
        assertThat(membership.addresses()).containsEntry("peer", "127.0.0.1:1");
    }

    @Test
    void testMemberWithoutHeartbeatsIsSuspectedThenRemoved() {
        membership.applyHeartbeat(heartbeat(1, 1, true), 0);
        assertThat(membership.expire(1_499).hasChanges()).isFalse();
        assertThat(membership.expire(1_500).suspected()).isTrue();
        assertThat(membership.names()).contains("peer");
        assertThat(membership.expire(3_000).removed()).containsExactly("peer");
    }

    @Test
    void testHeartbeatClearsSuspicion() {
        membership.applyHeartbeat(heartbeat(1, 1, true), 0);
        membership.expire(1_500);
        assertThat(membership.applyHeartbeat(heartbeat(1, 2, true), 1_600)).isTrue();
        assertThat(membership.expire(3_000).hasChanges()).isFalse();
    }

    @Test
    void testOldIncarnationIsIgnored() {
        membership.applyHeartbeat(heartbeat(2, 1, true), 0);
        assertThat(membership.applyHeartbeat(heartbeat(1, 9, true), 10)).isFalse();
        assertThat(membership.find("peer").orElseThrow().heartbeat().incarnation()).isEqualTo(2);
    }

    @Test
    void testReorderedHeartbeatIsIgnored() {
        membership.applyHeartbeat(heartbeat(1, 5, true), 0);
        assertThat(membership.applyHeartbeat(heartbeat(1, 4, false), 10)).isFalse();
        assertThat(membership.find("peer").orElseThrow().heartbeat().ready()).isTrue();
    }

    @Test
    void testRemovedMemberCanRejoin() {
        membership.applyHeartbeat(heartbeat(1, 5, true), 0);
        membership.expire(5_000);
        assertThat(membership.applyHeartbeat(heartbeat(1, 6, true), 5_100)).isTrue();
    }

    private static Heartbeat heartbeat(long incarnation, long sequence, boolean ready) {
        return new Heartbeat("peer", incarnation, sequence, "127.0.0.1:1", "a", ready, 1);
    }
}
