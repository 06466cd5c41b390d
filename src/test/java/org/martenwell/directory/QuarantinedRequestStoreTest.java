package org.martenwell.directory;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.math.BigInteger;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.martenwell.quarantine.Fingerprint;
import org.martenwell.quarantine.Quarantine;
import org.martenwell.quarantine.QuarantinedRequest;
import org.martenwell.quarantine.RequestSummary;
import org.martenwell.route.GatewayConfiguration;

class QuarantinedRequestStoreTest {

    private static final long NOW_MILLIS = 2 * Quarantine.QUARANTINE_MILLIS;

    private static final Fingerprint HARMFUL = new Fingerprint(1, 2);

    private final InMemoryStore store = new InMemoryStore();

    private final RecordingListener listener = new RecordingListener();

    private long nowMillis = 1;

    private final Eventloop loop =
            Eventloop.builder().withTimeProvider(() -> nowMillis).withCurrentThread().build();

    private final QuarantinedRequestStore requests =
            new QuarantinedRequestStore(
                    loop,
                    store,
                    "kind",
                    new Random(1),
                    listener,
                    Clock.fixed(Instant.ofEpochMilli(NOW_MILLIS), ZoneOffset.UTC));

    @Test
    void testWrittenRequestIsRead() {
        QuarantinedRequest request = request(NOW_MILLIS);
        requests.quarantine(request);
        start();
        assertThat(listener.requests).containsExactly(Map.entry(HARMFUL, request));
    }

    @Test
    void testFailedWriteIsRetriedUntilItSucceeds() {
        store.failures = 2;
        requests.quarantine(request(NOW_MILLIS));
        assertThat(store.objects).isEmpty();
        advance(1_000);
        assertThat(store.objects).isEmpty();
        advance(1_000);
        assertThat(store.objects).containsOnlyKeys(HARMFUL.toString());
    }

    @Test
    void testReleasedRequestIsNotRetried() {
        store.failures = 1;
        requests.quarantine(request(NOW_MILLIS));
        requests.release(HARMFUL);
        advance(2_000);
        assertThat(store.objects).isEmpty();
    }

    /** One malformed object must not prevent the others from being read. */
    @Test
    void testMalformedObjectsAreReportedAndIgnored() {
        requests.quarantine(request(NOW_MILLIS));
        store.objects.put("no fingerprint", QuarantinedRequestJson.write(request(NOW_MILLIS)));
        store.objects.put(
                new Fingerprint(3, 4).toString(),
                JsonNodeFactory.instance.objectNode().put("sinceMillis", "today"));
        store.objects.put(new Fingerprint(5, 6).toString(), JsonNodeFactory.instance.textNode(""));
        start();
        assertThat(listener.requests).containsOnlyKeys(HARMFUL);
        assertThat(listener.unreadable).hasSize(3);
    }

    /** Each list in which anything has changed must not log all malformed objects again. */
    @Test
    void testMalformedObjectIsReportedOnceAndBriefly() {
        store.objects.put("x".repeat(100_000), JsonNodeFactory.instance.objectNode());
        start();
        requests.quarantine(request(NOW_MILLIS));
        for (int step = 0; step < 100; step++) {
            advance(1_000);
        }
        assertThat(listener.requests).containsOnlyKeys(HARMFUL);
        assertThat(listener.unreadable).hasSize(1).allMatch(each -> each.length() <= 256);
    }

    /** A time beyond 64 bits, taken for another one, would never expire. */
    @Test
    void testTimeOutOfRangeIsMalformed() {
        store.objects.put(
                HARMFUL.toString(),
                JsonNodeFactory.instance
                        .objectNode()
                        .put(
                                "sinceMillis",
                                BigInteger.TWO.pow(62).multiply(BigInteger.valueOf(5))));
        start();
        assertThat(listener.requests).isEmpty();
        assertThat(listener.unreadable).hasSize(1);
    }

    @Test
    void testRequestWithExpiredQuarantineIsRemoved() {
        requests.quarantine(request(NOW_MILLIS - Quarantine.QUARANTINE_MILLIS - 1));
        start();
        assertThat(listener.requests).isEmpty();
        assertThat(store.objects).isEmpty();
    }

    private void start() {
        requests.start();
        loop.run();
    }

    private void advance(long millis) {
        nowMillis += millis;
        loop.post(() -> {});
        loop.run();
    }

    private static QuarantinedRequest request(long sinceMillis) {
        return new QuarantinedRequest(
                HARMFUL,
                RequestSummary.of("POST", "h", "/a", "clinic"),
                Set.of("one@1", "two@1", "three@1"),
                "gateway",
                sinceMillis);
    }

    /** An in-memory store of one kind of objects, whose next {@code failures} writes fail. */
    private static final class InMemoryStore implements ObjectStore {

        private final Map<String, JsonNode> objects = new TreeMap<>();

        private int failures;

        @Override
        public Promise<EntryPage> list(String kind, Optional<String> after, Freshness freshness) {
            List<StoredEntry> entries = new ArrayList<>();
            objects.forEach((name, value) -> entries.add(new StoredEntry(name, 1, value)));
            return Promise.of(new EntryPage(entries, false, 1));
        }

        @Override
        public Promise<EntryChanges> watch(String kind, long revision, long waitMillis) {
            return Promise.ofException(new IllegalStateException("Watches are not expected."));
        }

        @Override
        public Promise<Void> ping(String kind) {
            return Promise.complete();
        }

        @Override
        public Promise<Void> put(String kind, String name, JsonNode value) {
            return Promise.ofException(new IllegalStateException("Replacements are not expected."));
        }

        @Override
        public Promise<Void> replace(String kind, String name, JsonNode value) {
            return Promise.ofException(new IllegalStateException("Replacements are not expected."));
        }

        @Override
        public Promise<Void> create(String kind, String name, JsonNode value) {
            if (failures > 0) {
                failures--;
                return Promise.ofException(new IllegalStateException("The store is unavailable."));
            }
            objects.putIfAbsent(name, value);
            return Promise.complete();
        }

        @Override
        public Promise<Void> remove(String kind, String name, Optional<Long> revision) {
            objects.remove(name);
            return Promise.complete();
        }

        @Override
        public void close() {}
    }

    /** Records the notifications of the store. */
    private static final class RecordingListener implements DirectoryListener {

        private Map<Fingerprint, QuarantinedRequest> requests = Map.of();

        private final List<String> unreadable = new ArrayList<>();

        @Override
        public void configurationChanged(
                GatewayConfiguration configuration, String document, Optional<String> peer) {}

        @Override
        public void entryUnreadable(String name, String reason) {
            unreadable.add(name);
        }

        @Override
        public void targetsChanged(Map<String, DirectoryTarget> targets, long asOfMillis) {}

        @Override
        public void evacuationsChanged(Set<String> failureDomains) {}

        @Override
        public void membersChanged(Map<String, GatewayMember> members) {}

        @Override
        public void quarantinedRequestsChanged(Map<Fingerprint, QuarantinedRequest> quarantined) {
            requests = quarantined;
        }
    }
}
