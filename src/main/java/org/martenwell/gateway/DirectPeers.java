package org.martenwell.gateway;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.martenwell.directory.GatewayMember;
import org.martenwell.message.PeerMessage;
import org.martenwell.peer.PeerNetwork;

/**
 * The gateways that requests are offloaded to or received from, which stay connected beside those
 * that reports require. A gateway that shuts down leaves the directory while it has requests in
 * progress, so its address is remembered.
 */
final class DirectPeers implements OffloadLinks {

    /** The most gateways that requests are offloaded to at a time. */
    private static final int MAX_HELPERS = 4;

    /** The time after its last use at which a connection is no longer required, in milliseconds. */
    private static final long IDLE_MILLIS = 10_000;

    /** The bytes that wait to be written to a gateway above which nothing is added. */
    private static final long MAX_UNWRITTEN_BYTES = 1 << 18;

    private final String self;

    private final PeerNetwork network;

    /** Returns the current time, in milliseconds. */
    private final LongSupplier clock;

    /** Opens the required connections. */
    private final Runnable connect;

    /** Returns whether requests are in progress that a gateway handles or sent. */
    private Predicate<String> inUse = peer -> false;

    /** The gateways that know the messages. */
    private Set<String> capable = Set.of();

    /** The addresses of the gateways that are listed, or that were while they were used. */
    private final Map<String, String> addresses = new HashMap<>();

    /** The time at which a gateway was last listed, for those that are no longer. */
    private final Map<String, Long> departedMillis = new HashMap<>();

    /** The time of the last request to each gateway that requests are offloaded to. */
    private final Map<String, Long> helpers = new HashMap<>();

    /** The time of the last request from each gateway that requests are received from. */
    private final Map<String, Long> helped = new HashMap<>();

    /**
     * Creates a set without gateways.
     *
     * @param self This gateway's name.
     * @param network The connections.
     * @param clock Returns the current time, in milliseconds.
     * @param connect Opens the required connections, for which it calls {@link #required}.
     */
    DirectPeers(String self, PeerNetwork network, LongSupplier clock, Runnable connect) {
        this.self = self;
        this.network = network;
        this.clock = clock;
        this.connect = connect;
    }

    /**
     * Sets the test for requests in progress; called once before the start.
     *
     * @param used Returns whether requests are in progress that a gateway handles or sent.
     */
    void inUse(Predicate<String> used) {
        inUse = used;
    }

    /**
     * Updates the gateways of the fleet.
     *
     * @param members The gateways, including this one.
     */
    void members(Collection<GatewayMember> members) {
        Set<String> listed = new HashSet<>();
        Set<String> knowing = new HashSet<>();
        for (GatewayMember each : members) {
            if (!each.name().equals(self)) {
                listed.add(each.name());
                addresses.put(each.name(), each.peerAddress());
                if (each.protocol() >= GatewayMember.OFFLOAD_PROTOCOL) {
                    knowing.add(each.name());
                }
            }
        }
        capable = knowing;
        departedMillis.keySet().removeAll(listed);
        for (String each : addresses.keySet()) {
            if (!listed.contains(each)) {
                departedMillis.putIfAbsent(each, clock.getAsLong());
            }
        }
    }

    /**
     * Returns the gateways to which connections are required, and forgets those that are not used.
     *
     * @return The addresses by name.
     */
    Map<String, String> required() {
        long before = clock.getAsLong() - IDLE_MILLIS;
        helpers.entrySet().removeIf(each -> each.getValue() < before && !inUse.test(each.getKey()));
        // While the other gateway keeps its connection, it may send a request at any time, which a
        // close of this one would seem to lose.
        helped.entrySet()
                .removeIf(
                        each ->
                                each.getValue() < before
                                        && !inUse.test(each.getKey())
                                        && !network.receivesFrom(each.getKey()));
        departedMillis.entrySet().removeIf(each -> isForgotten(each.getKey(), each.getValue()));
        Map<String, String> required = new HashMap<>(addresses);
        required.keySet().removeIf(each -> !helpers.containsKey(each) && !helped.containsKey(each));
        return required;
    }

    private boolean isForgotten(String peer, long departed) {
        boolean used = helpers.containsKey(peer) || helped.containsKey(peer);
        boolean forgotten = !used && departed < clock.getAsLong() - IDLE_MILLIS;
        if (forgotten) {
            addresses.remove(peer);
        }
        return forgotten;
    }

    @Override
    public boolean prepare(String peer) {
        if (!capable.contains(peer) || !(helpers.containsKey(peer) || hasHelperPlace())) {
            return false;
        }
        boolean added = helpers.put(peer, clock.getAsLong()) == null;
        if (added && !network.connected(peer)) {
            connect.run();
        }
        return hasRoom(peer);
    }

    /**
     * Returns whether another gateway may help, for which the one without requests gives way that
     * was used least recently.
     */
    private boolean hasHelperPlace() {
        if (helpers.size() < MAX_HELPERS) {
            return true;
        }
        Optional<String> unused =
                helpers.keySet().stream()
                        .filter(each -> !inUse.test(each))
                        .min(Comparator.comparing(helpers::get));
        unused.ifPresent(helpers::remove);
        return unused.isPresent();
    }

    @Override
    public boolean keep(String peer) {
        if (!addresses.containsKey(peer)) {
            return false;
        }
        boolean added = helped.put(peer, clock.getAsLong()) == null;
        if (added && !network.connected(peer)) {
            connect.run();
        }
        network.reconnect(peer);
        return true;
    }

    @Override
    public boolean connected(String peer) {
        return network.connected(peer);
    }

    @Override
    public boolean hasRoom(String peer) {
        return network.connected(peer) && network.unwrittenBytes(peer) < MAX_UNWRITTEN_BYTES;
    }

    @Override
    public void send(String peer, PeerMessage message) {
        network.send(peer, message);
    }

    @Override
    public void sendNow(String peer, PeerMessage message) {
        network.sendNow(peer, message);
    }

    @Override
    public void closeFrom(String peer) {
        network.closeFrom(peer);
    }
}
