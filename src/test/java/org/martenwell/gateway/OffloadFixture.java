package org.martenwell.gateway;

import io.activej.eventloop.Eventloop;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.martenwell.exchange.Body;
import org.martenwell.exchange.CallerExchange;
import org.martenwell.exchange.CallerRequest;
import org.martenwell.exchange.CloseReason;
import org.martenwell.exchange.ConnectionLimits;
import org.martenwell.exchange.ResponseChannel;
import org.martenwell.exchange.ResponseFraming;
import org.martenwell.message.PeerMessage;
import org.martenwell.route.EngineCapacity;
import org.martenwell.route.GatewayConfiguration;
import org.martenwell.route.Route;
import org.martenwell.route.RouteType;
import org.martenwell.route.WeightedService;
import org.martenwell.settings.GatewayFeature;
import org.martenwell.settings.GatewaySettings;

/** A gateway core with a clock that tests set, and fakes of the connections around it. */
final class OffloadFixture {

    static final String SELF = "self";

    static final String PEER = "peer";

    private long nowMillis = 100_000;

    private final Eventloop loop =
            Eventloop.builder().withTimeProvider(() -> nowMillis).withCurrentThread().build();

    private final GatewayCore core;

    private final Links links = new Links();

    private final Targets targets = new Targets();

    OffloadFixture() {
        this(Set.of(GatewayFeature.OFFLOAD));
    }

    OffloadFixture(Set<GatewayFeature> features) {
        GatewaySettings settings =
                new GatewaySettings(
                        SELF,
                        "x",
                        "operations",
                        "127.0.0.1:1",
                        "127.0.0.1:1",
                        "127.0.0.1:1",
                        "127.0.0.1:1",
                        "a key of at least thirty-two characters",
                        Optional.empty(),
                        Optional.empty(),
                        1,
                        1,
                        100,
                        10,
                        4,
                        Optional.of(features));
        core =
                new GatewayCore(
                        loop,
                        Deployment.named("operations").dialect(),
                        settings,
                        new Random(1),
                        new GatewayLog(loop));
        core.configure(GatewayCores.configuration(new EngineCapacity(4, 100_000, true)));
    }

    GatewayCore core() {
        return core;
    }

    /** Configures one route, which all requests take. */
    void configureRoute(RouteType type, long timeoutMillis, boolean resumable) {
        Route route =
                new Route(
                        "route",
                        "",
                        "/",
                        type,
                        timeoutMillis,
                        400,
                        0,
                        List.of(new WeightedService(GatewayCores.SERVICE, 1)),
                        2,
                        true,
                        resumable,
                        0);
        core.configure(
                new GatewayConfiguration(
                        1,
                        List.of(route),
                        Map.of(),
                        ConnectionLimits.DEFAULTS,
                        0,
                        false,
                        Map.of(),
                        List.of()));
    }

    Links links() {
        return links;
    }

    Targets targets() {
        return targets;
    }

    /** Lets time pass and runs what is due. */
    void pass(long millis) {
        nowMillis += millis;
        loop.post(() -> {});
        loop.run();
    }

    /** Creates an exchange of a request that arrived some time ago. */
    CallerExchange exchange(ResponseChannel channel, String body, long heldMillis) {
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        headers.add("a", "1").add("b", "2").add("A", "3");
        return new CallerExchange(
                channel,
                new CallerRequest(
                        HttpMethod.POST,
                        "/path?query",
                        headers,
                        Body.of(body.getBytes(StandardCharsets.UTF_8)),
                        core.now() - heldMillis),
                true,
                true);
    }

    /** Connections that record what is sent. */
    static final class Links implements OffloadLinks {

        private final List<PeerMessage> sent = new ArrayList<>();

        private final List<String> closedFrom = new ArrayList<>();

        private boolean connected = true;

        private boolean hasRoom = true;

        private boolean known = true;

        /** Runs within the next message that is written at once. */
        private Runnable atNextWrite = () -> {};

        void atNextWrite(Runnable action) {
            atNextWrite = action;
        }

        /** Returns what was sent since the last call. */
        List<PeerMessage> takeSent() {
            List<PeerMessage> taken = List.copyOf(sent);
            sent.clear();
            return taken;
        }

        List<String> closedFrom() {
            return closedFrom;
        }

        void connected(boolean changed) {
            connected = changed;
        }

        void hasRoom(boolean changed) {
            hasRoom = changed;
        }

        void known(boolean changed) {
            known = changed;
        }

        @Override
        public boolean prepare(String peer) {
            return hasRoom(peer);
        }

        @Override
        public boolean keep(String peer) {
            return known;
        }

        @Override
        public boolean connected(String peer) {
            return connected;
        }

        @Override
        public boolean hasRoom(String peer) {
            return connected && hasRoom;
        }

        @Override
        public void send(String peer, PeerMessage message) {
            if (connected) {
                sent.add(message);
            }
        }

        @Override
        public void sendNow(String peer, PeerMessage message) {
            send(peer, message);
            Runnable action = atNextWrite;
            atNextWrite = () -> {};
            action.run();
        }

        @Override
        public void closeFrom(String peer) {
            closedFrom.add(peer);
        }
    }

    /** A choice that records its notifications. */
    static final class Targets implements OffloadTargets {

        private final List<String> events = new ArrayList<>();

        private Optional<String> chosen = Optional.of(PEER);

        List<String> events() {
            return events;
        }

        void chooseNobody() {
            chosen = Optional.empty();
        }

        @Override
        public Optional<String> choose(double workMillis, long now) {
            return chosen;
        }

        @Override
        public void rejected(String peer, long now) {
            events.add("rejected " + peer);
        }

        @Override
        public void failed(String peer, long now) {
            events.add("failed " + peer);
        }
    }

    /** A caller that records what it is sent. */
    static final class Channel implements ResponseChannel {

        private final List<String> events = new ArrayList<>();

        private int unwrittenBytes;

        List<String> events() {
            return events;
        }

        /** Returns the body of the response so far. */
        String text() {
            return String.join("", events);
        }

        void unwrittenBytes(int changed) {
            unwrittenBytes = changed;
        }

        @Override
        public void respond(int status, HttpHeaders headers, byte[] content, boolean keepAlive) {
            events.add("whole " + status + " " + headers.entries() + " " + text(content));
        }

        @Override
        public void begin(
                int status, HttpHeaders headers, ResponseFraming framing, boolean keepAlive) {
            events.add("head " + status + " " + framing);
        }

        @Override
        public void write(byte[] piece) {
            events.add(text(piece));
        }

        @Override
        public void end(boolean keepAlive) {
            events.add("end");
        }

        @Override
        public void responseFailed() {
            events.add("failed");
        }

        @Override
        public void abort(CloseReason reason) {
            events.add("aborted");
        }

        @Override
        public int unwrittenBytes() {
            return unwrittenBytes;
        }

        private static String text(byte[] bytes) {
            return new String(bytes, StandardCharsets.UTF_8);
        }
    }
}
