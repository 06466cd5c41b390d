package org.martenwell.service;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against servers that can't listen because another socket has their port. */
class LoopbackPortsTest {

    private static final int ALLOCATIONS = 1_000;

    private static final int PORTS = 3;

    @Test
    void testNoAddressIsAllocatedTwice() {
        Set<String> allocated = new HashSet<>();
        for (int index = 0; index < ALLOCATIONS; index++) {
            allocated.addAll(LoopbackPorts.free(PORTS));
        }
        assertThat(allocated).hasSize(PORTS * ALLOCATIONS);
    }

    @Test
    void testPortsThatTheSystemChoosesTakeNoAllocatedAddress() throws IOException {
        Set<InetSocketAddress> allocated = new HashSet<>();
        for (String address : LoopbackPorts.free(ALLOCATIONS)) {
            allocated.add(IpAddress.of(address));
        }
        List<ServerSocket> others = new ArrayList<>();
        try {
            for (int index = 0; index < ALLOCATIONS; index++) {
                ServerSocket other = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                others.add(other);
                assertThat(allocated)
                        .doesNotContain((InetSocketAddress) other.getLocalSocketAddress());
            }
        } finally {
            for (ServerSocket each : others) {
                each.close();
            }
        }
    }

    @Test
    void testAllocatedAddressCanBeBound() throws IOException {
        for (String address : LoopbackPorts.free(PORTS)) {
            try (ServerSocket server = new ServerSocket()) {
                server.bind(IpAddress.of(address));
                assertThat(server.isBound()).isTrue();
            }
        }
    }
}
