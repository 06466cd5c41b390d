package org.martenwell.peer;

import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.martenwell.message.PeerMessage;
import org.martenwell.service.IpAddress;
import org.martenwell.service.ManagedService;

/**
 * The connections of one router with its peers. Each router opens one connection to each peer and
 * only sends over it; it receives over those that peers open.
 */
public final class PeerNetwork implements ManagedService {

    /** The loop. */
    private final NioReactor reactor;

    /** The key that peers share. */
    private final String key;

    /** Takes connections. */
    private final PeerServer server;

    /** Is told of what arrives. */
    private final PeerListener listener;

    /** Spreads attempts to connect. */
    private final Random random;

    /** Counts traffic. */
    private final PeerTraffic traffic = new PeerTraffic();

    /** The connections to peers, by name. */
    private final Map<String, PeerConnection> connections = new HashMap<>();

    /**
     * Creates a network without peers.
     *
     * @param reactor The loop.
     * @param address Where to take connections.
     * @param key The key that peers share.
     * @param random Spreads attempts to connect.
     * @param listener Is told of what arrives.
     */
    public PeerNetwork(
            NioReactor reactor, String address, String key, Random random, PeerListener listener) {
        this.reactor = reactor;
        this.key = key;
        this.random = random;
        this.listener = listener;
        this.server = new PeerServer(reactor, IpAddress.of(address), key, traffic, listener);
    }

    @Override
    public Promise<Void> start() {
        return server.start();
    }

    @Override
    public Promise<Void> stop() {
        connections.values().forEach(PeerConnection::close);
        connections.clear();
        return server.stop();
    }

    /**
     * Changes the peers. Connections to others are closed.
     *
     * @param addresses The peers' addresses by name.
     */
    public void peers(Map<String, String> addresses) {
        for (String name : Map.copyOf(connections).keySet()) {
            if (!addresses.containsKey(name)
                    || !connections.get(name).address().equals(addresses.get(name))) {
                connections.remove(name).close();
            }
        }
        for (Map.Entry<String, String> entry : addresses.entrySet()) {
            connections.computeIfAbsent(entry.getKey(), name -> open(name, entry.getValue()));
        }
    }

    /**
     * Sends a message to a peer. It is dropped if there is no connection.
     *
     * @param peer The peer's name.
     * @param message The message.
     * @return {@code false} if this is none of the present peers.
     */
    public boolean send(String peer, PeerMessage message) {
        PeerConnection connection = connections.get(peer);
        if (connection != null) {
            connection.send(message);
        }
        return connection != null;
    }

    /**
     * Sends a message to all peers.
     *
     * @param message The message.
     */
    public void broadcast(PeerMessage message) {
        connections.values().forEach(connection -> connection.send(message));
    }

    /**
     * Returns the counters of traffic.
     *
     * @return The counters.
     */
    public PeerTraffic traffic() {
        return traffic;
    }

    /**
     * Opens a connection.
     *
     * @param name The peer's name.
     * @param address The peer's address.
     * @return The connection.
     */
    private PeerConnection open(String name, String address) {
        PeerConnection connection =
                new PeerConnection(reactor, name, address, key, random, traffic, listener);
        connection.open();
        return connection;
    }
}
