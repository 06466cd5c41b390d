package org.martenwell.gateway;

import io.activej.reactor.nio.NioReactor;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.message.PeerMessage;
import org.martenwell.observe.LogEvent;
import org.martenwell.peer.PeerNetwork;
import org.martenwell.peer.StreamOriginNotice;
import org.martenwell.peer.StreamOriginsSent;
import org.martenwell.version.StreamOrigin;

/**
 * Transfer of stream origins to and from peers that connect. A gateway that has just started holds
 * none; once it has received those of its peers, the gateways that told it may be restarted too.
 */
final class OriginTransfer {

    private static final Logger LOGGER = LogManager.getLogger(OriginTransfer.class);

    /** The most origins of a message. */
    private static final int BATCH_SIZE = 2_000;

    /** The interval of messages to one peer, in milliseconds. */
    private static final long BATCH_INTERVAL_MILLIS = 5;

    /** The time for which a gateway waits for the origins that peers hold, in milliseconds. */
    private static final long MAX_WAIT_MILLIS = 500;

    /**
     * The time for which a gateway that is ready otherwise waits for the list of gateways, in
     * milliseconds. Without it, it knows no streams of others and refuses to continue them.
     */
    private static final long MAX_FLEET_WAIT_MILLIS = 2_000;

    private final NioReactor reactor;

    private final String self;

    private final PeerNetwork network;

    /** The number of the last transfer to each peer; a new connection ends earlier ones. */
    private final Map<String, Integer> transfers = new HashMap<>();

    /** The peers that have sent all origins that this gateway needs to know. */
    private final Set<String> senders = new HashSet<>();

    /** The time at which the fleet became known, in milliseconds, negative before. */
    private long fleetKnownMillis = -1;

    private final long startedMillis;

    /** The time since which the origins are waited for, in milliseconds, negative before. */
    private long waitingSinceMillis = -1;

    /** Set once a peer that knows all streams has sent the origins. */
    private boolean complete;

    /** Set once no more origins are waited for. */
    private boolean received;

    /**
     * Creates a transfer without peers.
     *
     * @param reactor The event loop.
     * @param self The gateway's name.
     * @param network Sends messages.
     */
    OriginTransfer(NioReactor reactor, String self, PeerNetwork network) {
        this.reactor = reactor;
        this.self = self;
        this.network = network;
        this.startedMillis = reactor.currentTimeMillis();
    }

    /** Records that the gateways of the fleet are known. */
    void fleetKnown() {
        if (fleetKnownMillis < 0) {
            fleetKnownMillis = reactor.currentTimeMillis();
        }
    }

    /**
     * Returns whether this gateway has known the fleet for some time.
     *
     * @param millis The time in milliseconds.
     * @return {@code true} if it has.
     */
    boolean runsFor(long millis) {
        return isFleetKnown() && reactor.currentTimeMillis() - fleetKnownMillis >= millis;
    }

    /** {@return {@code true} once the gateways of the fleet are known} */
    boolean isFleetKnown() {
        return fleetKnownMillis >= 0;
    }

    /**
     * Sends origins to a peer that has just connected.
     *
     * @param peer The peer's name.
     * @param origins The origins that it needs to know.
     * @param retentionMillis The time for which origins are retained, in milliseconds.
     */
    void send(String peer, List<StreamOrigin> origins, long retentionMillis) {
        int number = transfers.merge(peer, 1, Integer::sum);
        boolean knowsAll =
                complete || reactor.currentTimeMillis() - startedMillis >= retentionMillis;
        sendBatch(peer, number, origins, new StreamOriginsSent(self, knowsAll));
    }

    private void sendBatch(String peer, int number, List<StreamOrigin> origins, PeerMessage last) {
        if (transfers.get(peer) != number || !network.connected(peer)) {
            return;
        }
        int size = Math.min(BATCH_SIZE, origins.size());
        if (size > 0) {
            network.send(peer, new StreamOriginNotice(self, peer, origins.subList(0, size)));
        }
        if (size == origins.size()) {
            network.send(peer, last);
        } else {
            List<StreamOrigin> rest = origins.subList(size, origins.size());
            reactor.delayBackground(
                    BATCH_INTERVAL_MILLIS, () -> sendBatch(peer, number, rest, last));
        }
    }

    /**
     * Processes that a peer has sent all origins.
     *
     * @param message The message.
     */
    void receive(StreamOriginsSent message) {
        senders.add(message.sender());
        complete |= message.complete();
    }

    /**
     * Returns whether this gateway knows what its peers know, or has waited long enough for that;
     * called once it is ready otherwise.
     *
     * @param peers The peers that send their origins.
     * @return {@code true} once it does.
     */
    boolean isReceived(Set<String> peers) {
        long now = reactor.currentTimeMillis();
        waitingSinceMillis = waitingSinceMillis < 0 ? now : waitingSinceMillis;
        if (!received && isWaitOver(peers, now - waitingSinceMillis)) {
            received = true;
            LOGGER.info(
                    LogEvent.of("origins-received")
                            .with("complete", complete)
                            .with("fleetKnown", isFleetKnown())
                            .with("peers", peers.size())
                            .with("senders", senders.size())
                            .with("waitedMillis", now - waitingSinceMillis)
                            .message());
        }
        return received;
    }

    private boolean isWaitOver(Set<String> peers, long waitedMillis) {
        return isFleetKnown()
                ? complete || senders.containsAll(peers) || runsFor(MAX_WAIT_MILLIS)
                : waitedMillis >= MAX_FLEET_WAIT_MILLIS;
    }
}
