package org.martenwell.gateway;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.martenwell.directory.GatewayMember;

/**
 * The gateways that left the directory and still run, since one that shuts down serves requests for
 * seconds. Gateways that shut down at the same time know each other by this alone, and the streams
 * of one are taken up at another.
 */
final class DepartingPeers {

    private final String self;

    /** Returns whether a gateway is connected. */
    private final Predicate<String> connected;

    /** The listed gateways by name, apart from this one. */
    private Map<String, GatewayMember> listed = Map.of();

    /** The gateways that have left, by name. */
    private final Map<String, GatewayMember> departed = new HashMap<>();

    /**
     * Creates a set without gateways.
     *
     * @param self This gateway's name.
     * @param connected Returns whether a gateway is connected.
     */
    DepartingPeers(String self, Predicate<String> connected) {
        this.self = self;
        this.connected = connected;
    }

    /**
     * Updates the gateways that the directory lists. One that was connected and is no longer listed
     * is departing until its connection ends.
     *
     * @param members The gateways.
     */
    void members(Collection<GatewayMember> members) {
        Map<String, GatewayMember> changed = new HashMap<>();
        for (GatewayMember each : members) {
            if (!each.name().equals(self)) {
                changed.put(each.name(), each);
            }
        }
        listed.forEach(departed::put);
        departed.keySet().removeAll(changed.keySet());
        removeEnded();
        listed = changed;
    }

    /** {@return the departing gateways by name} */
    Map<String, GatewayMember> all() {
        removeEnded();
        return Map.copyOf(departed);
    }

    /** {@return the names of the departing gateways} */
    Set<String> names() {
        return all().keySet();
    }

    private void removeEnded() {
        departed.keySet().removeIf(each -> !connected.test(each));
    }
}
