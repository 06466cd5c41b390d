package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.martenwell.directory.GatewayMember;

/** Tests the routes of reports between gateways. */
final class ReportTopologyTest {

    private static final List<String> DOMAINS = List.of("x", "y", "z");

    @Test
    void testSmallFleetIsAMesh() {
        ReportTopology topology = topology("x-1", "x", 9);
        assertThat(topology.usesRelays()).isFalse();
        assertThat(topology.requiredPeers(0)).hasSize(8).doesNotContain("x-1");
        assertThat(topology.intervalMillis()).isEqualTo(40);
    }

    @Test
    void testAllGatewaysOfADomainChooseOneRelay() {
        String relay = topology("x-1", "x", 60).relay(0);
        for (GatewayMember each : members(60)) {
            if (each.failureDomain().equals("x")) {
                assertThat(topology(each.name(), "x", 60).relay(0)).isEqualTo(relay);
            }
        }
    }

    @Test
    void testGatewayWithTheMostProcessorTimeIsTheRelay() {
        List<GatewayMember> members = members(60);
        String relay = topology("x-1", "x", 60).relay(0);
        String other = relay.equals("x-1") ? "x-2" : "x-1";
        members.removeIf(each -> each.name().equals(other));
        members.add(new GatewayMember(other, "x", "unused", 1.5));
        ReportTopology topology = new ReportTopology("x-3", "x", () -> 0);
        topology.members(members);
        assertThat(topology.relay(0)).isEqualTo(other);
    }

    @Test
    void testConnectionsGrowLinearlyWithTheFleet() {
        int links = 0;
        for (GatewayMember each : members(60)) {
            links += topology(each.name(), each.failureDomain(), 60).requiredPeers(0).size();
        }
        int members = 57;
        int relaysToMembers = 57;
        int betweenRelays = 6;
        assertThat(links).isEqualTo(members + relaysToMembers + betweenRelays);
    }

    @Test
    void testGatewayThatOthersReportToIsARelay() {
        String relay = topology("x-1", "x", 60).relay(0);
        String other = relay.equals("x-1") ? "x-2" : "x-1";
        ReportTopology topology = topology(other, "x", 60);
        assertThat(topology.isRelay(0)).isFalse();
        topology.usedAsRelay(10);
        assertThat(topology.isRelay(11)).isTrue();
        topology.recordRelay(relay, 600);
        assertThat(topology.isRelay(600)).isFalse();
    }

    private static ReportTopology topology(String name, String domain, int size) {
        ReportTopology topology = new ReportTopology(name, domain, () -> 0);
        topology.members(members(size));
        return topology;
    }

    private static List<GatewayMember> members(int size) {
        List<GatewayMember> members = new ArrayList<>();
        for (int index = 0; index < size; index++) {
            String domain = DOMAINS.get(index % DOMAINS.size());
            members.add(new GatewayMember(domain + "-" + (index / 3 + 1), domain, "unused", 1));
        }
        return members;
    }
}
