package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.martenwell.exchange.CallerExchange;
import org.martenwell.message.PeerMessage;
import org.martenwell.peer.HeaderField;
import org.martenwell.peer.OffloadedRequest;
import org.martenwell.peer.OffloadedRequestCancelled;
import org.martenwell.peer.OffloadedResponse;
import org.martenwell.peer.OffloadedResponseReceived;
import org.martenwell.peer.ResponsePart;
import org.martenwell.peer.ResponsePartKind;

/**
 * Guards against offloaded requests that run although they were rejected or their callers left, and
 * against responses that are lost, late or not bounded.
 */
final class OffloadedRequestsTest {

    private static final byte[] EVENT = "event".getBytes(StandardCharsets.UTF_8);

    /** The window of the fleet's retry budget, in milliseconds. */
    private static final int RETRY_WINDOW_MILLIS = 10_000;

    /** The retries in a window beyond the share of requests. */
    private static final int RETRY_ALLOWANCE = 100;

    private final OffloadFixture fixture = new OffloadFixture();

    /** The requests that were accepted. */
    private final List<CallerExchange> handled = new ArrayList<>();

    private final OffloadedRequests requests = requests(fixture);

    private OffloadedRequests requests(OffloadFixture of) {
        return new OffloadedRequests(
                of.core(), OffloadFixture.SELF, of.links(), each -> handled.add(each));
    }

    @Test
    void testRequestIsHandledAsItArrivedAtTheOtherGateway() {
        CallerExchange exchange = handle(1);
        assertThat(exchange.request().method().name()).isEqualTo("PUT");
        assertThat(exchange.request().target()).isEqualTo("/path?query");
        assertThat(exchange.request().headers().getAll("a")).containsExactly("1", "2");
        assertThat(exchange.request().body()).hasToString("body");
        assertThat(exchange.request().arrivedMillis()).isEqualTo(fixture.core().now() - 70);
        assertThat(exchange.chunksAllowed()).isFalse();
    }

    @Test
    void testRequestIsRejectedForAnotherConfiguration() {
        requests.receive(request(1, 2));
        assertThat(handled).isEmpty();
        assertThat(kinds()).containsExactly(ResponsePartKind.REJECTED);
    }

    @Test
    void testRequestIsRejectedWhileTheGatewayShutsDown() {
        CallerExchange earlier = handle(1);
        requests.close();
        requests.receive(request(2, 1));
        assertThat(handled).containsExactly(earlier);
        assertThat(kinds()).containsExactly(ResponsePartKind.REJECTED);
        earlier.respond(200, headers(), EVENT);
        assertThat(kinds()).containsExactly(ResponsePartKind.WHOLE);
    }

    @Test
    void testRequestIsRejectedUnlessTheFeatureIsEnabled() {
        OffloadFixture disabled = new OffloadFixture(Set.of());
        requests(disabled).receive(request(1, 1));
        assertThat(handled).isEmpty();
    }

    /** Guards against a caller that waits for a gateway that can't respond. */
    @Test
    void testGatewayAtAnUnknownAddressIsDisconnected() {
        fixture.links().known(false);
        requests.receive(request(1, 1));
        assertThat(handled).isEmpty();
        assertThat(fixture.links().closedFrom()).containsExactly(OffloadFixture.PEER);
    }

    @Test
    void testFirstEventAndEndAreSentAtOnceAndOthersTogether() {
        CallerExchange first = handle(1);
        CallerExchange second = handle(2);
        first.begin(200, headers());
        second.begin(200, headers());
        assertThat(kinds()).isEmpty();
        first.write(EVENT);
        assertThat(kinds())
                .containsExactly(
                        ResponsePartKind.CLOSE_DELIMITED_HEAD,
                        ResponsePartKind.CLOSE_DELIMITED_HEAD,
                        ResponsePartKind.BODY);
        second.write(EVENT);
        assertThat(kinds()).containsExactly(ResponsePartKind.BODY);
        first.write(EVENT);
        second.write(EVENT);
        first.write(EVENT);
        assertThat(fixture.links().takeSent()).isEmpty();
        fixture.pass(ResponseOutbox.COLLECT_MILLIS);
        List<PeerMessage> sent = fixture.links().takeSent();
        assertThat(sent).hasSize(1);
        assertThat(((OffloadedResponse) sent.get(0)).parts())
                .extracting(ResponsePart::id)
                .containsExactly(1L, 2L, 1L);
        first.write(EVENT);
        first.end();
        assertThat(kinds()).containsExactly(ResponsePartKind.BODY, ResponsePartKind.END);
    }

    /** Guards against responses that are lost before the connection back is open. */
    @Test
    void testResponsesWaitForTheConnection() {
        fixture.links().connected(false);
        CallerExchange exchange = handle(1);
        exchange.respond(200, headers(), EVENT);
        assertThat(fixture.core().activeRequests()).isEqualTo(1);
        assertThat(requests.uses(OffloadFixture.PEER)).isTrue();
        fixture.pass(1_000);
        fixture.links().connected(true);
        requests.connected(OffloadFixture.PEER);
        assertThat(kinds()).containsExactly(ResponsePartKind.WHOLE);
        assertThat(fixture.core().activeRequests()).isZero();
        assertThat(requests.uses(OffloadFixture.PEER)).isFalse();
    }

    @Test
    void testGatewayThatStaysUnconnectedIsGivenUp() {
        fixture.links().connected(false);
        List<String> left = new ArrayList<>();
        CallerExchange waiting = handle(1);
        waiting.onDisconnect(() -> left.add("left"));
        handle(2).respond(200, headers(), EVENT);
        for (int count = 0; count < 40; count++) {
            fixture.pass(100);
        }
        assertThat(left).hasSize(1);
        assertThat(fixture.links().closedFrom()).containsExactly(OffloadFixture.PEER);
        assertThat(fixture.core().activeRequests()).isZero();
        assertThat(requests.uses(OffloadFixture.PEER)).isFalse();
    }

    @Test
    void testRequestEndsWhenItsCallerLeaves() {
        List<String> left = new ArrayList<>();
        CallerExchange exchange = handle(1);
        exchange.onDisconnect(() -> left.add("left"));
        requests.receive(new OffloadedRequestCancelled(OffloadFixture.PEER, 1));
        assertThat(left).hasSize(1);
        assertThat(exchange.finished()).isTrue();
        exchange.respond(200, headers(), EVENT);
        assertThat(kinds()).isEmpty();
        assertThat(requests.uses(OffloadFixture.PEER)).isFalse();
    }

    /**
     * The other gateway may not have noticed the loss, so it is notified of the requests concerned.
     */
    @Test
    void testRequestsEndWhenTheirGatewayIsLost() {
        List<String> left = new ArrayList<>();
        handle(1).onDisconnect(() -> left.add("left"));
        requests.peerLost("another");
        assertThat(left).isEmpty();
        requests.peerLost(OffloadFixture.PEER);
        assertThat(left).hasSize(1);
        assertThat(kinds()).containsExactly(ResponsePartKind.BROKEN);
    }

    /** Guards against a request that runs at two targets, and against events that are lost. */
    @Test
    void testRequestsThatAreHandedBackHaveEndedAtTheirTargets() {
        List<List<ResponsePartKind>> sentBefore = new ArrayList<>();
        CallerExchange exchange = handle(1);
        exchange.onDisconnect(() -> sentBefore.add(kinds()));
        exchange.begin(200, headers());
        exchange.write(EVENT);
        exchange.write(EVENT);
        requests.handBack();
        assertThat(sentBefore)
                .containsExactly(
                        List.of(ResponsePartKind.CLOSE_DELIMITED_HEAD, ResponsePartKind.BODY));
        assertThat(kinds()).containsExactly(ResponsePartKind.BODY, ResponsePartKind.BROKEN);
        assertThat(requests.uses(OffloadFixture.PEER)).isFalse();
        assertThat(fixture.core().activeRequests()).isZero();
    }

    /**
     * Guards against streams that break for the budget of the gateway alone that continues them.
     */
    @Test
    void testAttemptsBehindAHandBackAreTakenFromTheBudgetOfThisGatewayAsFarAsItLasts() {
        fixture.core().updateFleet(1, 0);
        fixture.pass(RETRY_WINDOW_MILLIS);
        int count = 2 * RETRY_ALLOWANCE;
        for (int id = 0; id < count; id++) {
            handle(id);
        }
        requests.handBack();
        List<Integer> paid = parts().stream().map(ResponsePart::value).toList();
        assertThat(paid).hasSize(count).contains(0, 1);
        assertThat(paid.stream().mapToInt(Integer::intValue).sum()).isLessThan(RETRY_ALLOWANCE);
        assertThat(fixture.core().takeRetry()).isFalse();
    }

    /** Guards against a slow caller that fills the memory of both gateways. */
    @Test
    void testWindowLimitsWhatIsSentAheadOfTheCaller() {
        CallerExchange exchange = handle(1);
        exchange.begin(200, headers());
        int total = 0;
        for (int count = 0; count < 40; count++) {
            exchange.write(new byte[10_000]);
            total += 10_000;
        }
        fixture.pass(100);
        long sent = bodyBytes();
        assertThat(sent).isBetween(200_000L, PeerResponseChannel.WINDOW_BYTES);
        assertThat(exchange.unwrittenBytes()).isEqualTo(total);
        requests.receive(new OffloadedResponseReceived(OffloadFixture.PEER, 1, 100_000));
        fixture.pass(100);
        assertThat(exchange.unwrittenBytes()).isEqualTo(total - 100_000);
        assertThat(bodyBytes()).isEqualTo(100_000);
        requests.receive(new OffloadedResponseReceived(OffloadFixture.PEER, 1, sent));
        exchange.end();
        fixture.pass(100);
        assertThat(bodyBytes()).isEqualTo(total - sent - 100_000);
        assertThat(requests.uses(OffloadFixture.PEER)).isFalse();
    }

    /** Guards against a frame that is too large for the peer, which would close its connection. */
    @Test
    void testLargeWholeResponseIsSentInPieces() {
        handle(1).respond(200, headers(), new byte[1_000_000]);
        assertThat(fixture.core().activeRequests()).isEqualTo(1);
        long sent = 0;
        while (sent < 1_000_000) {
            long more = bodyBytes();
            assertThat(more).isBetween(1L, PeerResponseChannel.WINDOW_BYTES);
            sent += more;
            requests.receive(new OffloadedResponseReceived(OffloadFixture.PEER, 1, sent));
            fixture.pass(100);
        }
        assertThat(fixture.core().activeRequests()).isZero();
        assertThat(fixture.core().responseMemory().usedBytes()).isZero();
    }

    @Test
    void testNothingIsAddedForAGatewayThatReadsSlowly() {
        fixture.links().hasRoom(false);
        handle(1).respond(200, headers(), EVENT);
        fixture.pass(5_000);
        assertThat(kinds()).isEmpty();
        fixture.links().hasRoom(true);
        fixture.pass(100);
        assertThat(kinds()).containsExactly(ResponsePartKind.WHOLE);
    }

    @Test
    void testFailuresAndRetriesAreTold() {
        CallerExchange first = handle(1);
        first.requestSent(1);
        assertThat(kinds()).isEmpty();
        first.requestSent(2);
        assertThat(kinds()).containsExactly(ResponsePartKind.SENT_AGAIN);
        first.failed();
        assertThat(kinds()).containsExactly(ResponsePartKind.WHOLE);
        CallerExchange second = handle(2);
        second.begin(200, headers());
        second.abort();
        assertThat(kinds()).endsWith(ResponsePartKind.BROKEN);
        assertThat(fixture.core().activeRequests()).isZero();
    }

    private CallerExchange handle(long id) {
        int before = handled.size();
        requests.receive(request(id, 1));
        assertThat(handled).hasSize(before + 1);
        return handled.get(before);
    }

    private static OffloadedRequest request(long id, long version) {
        return new OffloadedRequest(
                OffloadFixture.PEER,
                id,
                version,
                70,
                "PUT",
                "/path?query",
                List.of(new HeaderField("a", "1"), new HeaderField("A", "2")),
                ByteBuffer.wrap("body".getBytes(StandardCharsets.UTF_8)).asReadOnlyBuffer(),
                true,
                false);
    }

    private static HttpHeaders headers() {
        return DefaultHttpHeadersFactory.headersFactory().newHeaders();
    }

    private List<ResponsePart> parts() {
        return fixture.links().takeSent().stream()
                .flatMap(each -> ((OffloadedResponse) each).parts().stream())
                .toList();
    }

    private List<ResponsePartKind> kinds() {
        return parts().stream().map(ResponsePart::kind).toList();
    }

    private long bodyBytes() {
        return parts().stream().mapToLong(ResponsePart::bodyBytes).sum();
    }
}
