package org.martenwell.peer;

import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.nio.NioReactor;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.martenwell.message.PeerMessage;
import org.martenwell.service.IpAddress;
import org.martenwell.service.ManagedService;

/**
 * Connections of one router or gateway to its peers. Each process opens one connection to every
 * peer, over which it only sends messages; it receives messages over the connections that peers
 * open to it.
 */
public final class PeerNetwork implements ManagedService {

    private final NioReactor reactor;

    private final String key;

    private final PeerServer server;

    private final PeerListener listener;

    private final Random random;

    private final PeerTraffic traffic = new PeerTraffic();

    /** The outgoing connections by the peer's name. */
    private final Map<String, PeerConnection> connections = new HashMap<>();

    /**
     * Creates a network without peers.
     *
     * @param reactor The event loop.
     * @param address The address to listen on.
     * @param key The secret shared by all peers.
     * @param random The source of jitter.
     * @param listener Receives messages and connection events.
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
        List<PeerConnection> closing = List.copyOf(connections.values());
        connections.clear();
        return Promises.all(closing.stream().map(PeerConnection::finish)).then(server::stop);
    }

    /**
     * Replaces the set of peers. Connections to removed peers and to changed addresses are closed;
     * missing ones are opened, except to addresses that are invalid.
     *
     * @param addresses The peers' addresses by name.
     */
    public void setPeers(Map<String, String> addresses) {
        for (String name : Map.copyOf(connections).keySet()) {
            if (!addresses.containsKey(name)
                    || !connections.get(name).address().equals(addresses.get(name))) {
                connections.remove(name).close();
            }
        }
        for (Map.Entry<String, String> entry : addresses.entrySet()) {
            if (IpAddress.parse(entry.getValue()).isPresent()) {
                connections.computeIfAbsent(entry.getKey(), name -> open(name, entry.getValue()));
            }
        }
    }

    /**
     * Sends a message to a peer. It is dropped if the connection is not established.
     *
     * @param peer The peer's name.
     * @param message The message.
     */
    public void send(String peer, PeerMessage message) {
        PeerConnection connection = connections.get(peer);
        if (connection != null) {
            connection.send(message);
        }
    }

    /**
     * Sends a message at once instead of at the end of the event loop's iteration, which may take
     * over a second on a busy box.
     *
     * @param peer The peer's name.
     * @param message The message.
     */
    public void sendNow(String peer, PeerMessage message) {
        PeerConnection connection = connections.get(peer);
        if (connection != null) {
            connection.send(message);
            connection.flush();
        }
    }

    /**
     * Writes the messages to all peers now instead of at the end of the event loop's iteration, in
     * which the process may end.
     */
    public void flush() {
        connections.values().forEach(PeerConnection::flush);
    }

    /**
     * Connects to a peer at once if it is required and not connected; called when a message shows
     * that the peer is running.
     *
     * @param peer The peer's name.
     */
    public void reconnect(String peer) {
        PeerConnection connection = connections.get(peer);
        if (connection != null) {
            connection.openNow();
        }
    }

    /**
     * Returns whether messages can be sent to a peer.
     *
     * @param peer The peer's name.
     * @return {@code true} if the connection to it is established.
     */
    public boolean connected(String peer) {
        return connections.containsKey(peer) && connections.get(peer).established();
    }

    /**
     * Returns whether a peer is in the set of peers.
     *
     * @param peer The peer's name.
     * @return {@code true} if a connection to it is open or is opened.
     */
    public boolean requires(String peer) {
        return connections.containsKey(peer);
    }

    /**
     * Returns the bytes of messages to a peer that are not written yet.
     *
     * @param peer The peer's name.
     * @return The number of bytes, 0 without a connection.
     */
    public long unwrittenBytes(String peer) {
        return connections.containsKey(peer) ? connections.get(peer).unwrittenBytes() : 0;
    }

    /**
     * Returns whether a connection is open on which a peer sent {@link OffloadMessage}s.
     *
     * @param peer The peer's name.
     * @return {@code true} if there is one.
     */
    public boolean receivesFrom(String peer) {
        return server.receivesFrom(peer);
    }

    /**
     * Closes the connections on which a peer sent {@link OffloadMessage}s, so that it learns that
     * messages may have been lost.
     *
     * @param peer The peer's name.
     */
    public void closeFrom(String peer) {
        server.closeFrom(peer);
    }

    /**
     * Returns whether a peer has ended, as its machine refuses connections to it.
     *
     * @param peer The peer's name.
     * @return {@code true} if the last attempt to connect was refused.
     */
    public boolean refused(String peer) {
        return connections.containsKey(peer) && connections.get(peer).refused();
    }

    /** {@return the number of peers to which messages can be sent} */
    public long establishedConnections() {
        return connections.values().stream().filter(PeerConnection::established).count();
    }

    /** {@return the number of open connections that peers have opened} */
    public int acceptedConnections() {
        return server.connections();
    }

    /** {@return the bytes of messages that wait to be framed, summed over all peers} */
    public long pendingBytes() {
        return connections.values().stream().mapToLong(PeerConnection::pendingBytes).sum();
    }

    /**
     * Sends a message to all peers with an established connection.
     *
     * @param message The message.
     */
    public void broadcast(PeerMessage message) {
        connections.values().forEach(connection -> connection.send(message));
    }

    /** {@return the traffic counters of all connections} */
    public PeerTraffic traffic() {
        return traffic;
    }

    private PeerConnection open(String name, String address) {
        PeerConnection connection =
                new PeerConnection(reactor, name, address, key, random, traffic, listener);
        connection.open();
        return connection;
    }
}
