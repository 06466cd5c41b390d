package org.martenwell.directory;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.route.GatewayConfiguration;
import org.martenwell.version.ServiceVersion;

/** Guards against a history with gaps that is taken for a complete one. */
class TargetVersionHistoryTest {

    private final FakeHistory store = new FakeHistory();

    private Optional<Set<ServiceVersion>> found = Optional.empty();

    @BeforeEach
    void createLoop() {
        Eventloop.builder().withCurrentThread().build();
    }

    @Test
    void testVersionsThatHaveGoneAreFound() {
        store.put(2, "a", "v1");
        store.put(3, "b", "v2");
        store.remove(5, "a");
        read();
        assertThat(found).contains(Set.of(version("v1"), version("v2")));
    }

    @Test
    void testHistoryInSeveralAnswersIsReadToItsEnd() {
        store.changesPerAnswer = 1;
        store.put(2, "a", "v1");
        store.put(3, "a", "v2");
        store.put(4, "b", "v3");
        store.remove(5, "b");
        read();
        assertThat(found).contains(Set.of(version("v1"), version("v2"), version("v3")));
    }

    @Test
    void testHistoryThatTheStoreNoLongerHasIsUnknown() {
        store.put(2, "a", "v1");
        store.oldestRevision = 1;
        read();
        assertThat(found).isEmpty();
    }

    @Test
    void testHistoryWithoutTheChangeOfAListedTargetIsUnknown() {
        store.put(2, "a", "v1");
        store.put(3, "b", "v2");
        store.changes.remove(0);
        read();
        assertThat(found).isEmpty();
    }

    @Test
    void testHistoryThatLacksTheBeginOfATargetThatHasGoneIsUnknown() {
        store.put(2, "a", "v1");
        store.put(3, "b", "v2");
        store.remove(4, "a");
        store.changes.remove(0);
        read();
        assertThat(found).isEmpty();
    }

    @Test
    void testUnreadableEntryBeginsNoStreams() {
        store.put(2, "a", "");
        store.put(3, "b", "v1");
        read();
        assertThat(found).contains(Set.of(version("v1")));
    }

    private void read() {
        new TargetVersionHistory(store, new VersionReader())
                .read()
                .whenResult(result -> found = result);
    }

    private static ServiceVersion version(String name) {
        return new ServiceVersion("service", name);
    }

    /** A store whose objects are versions. */
    private static final class FakeHistory implements ObjectStore {

        private final List<StoredEntry> listed = new ArrayList<>();

        private final List<EntryChange> changes = new ArrayList<>();

        private int changesPerAnswer = Integer.MAX_VALUE;

        private long oldestRevision;

        private long revision;

        void put(long changed, String name, String version) {
            StoredEntry entry =
                    new StoredEntry(name, changed, JsonNodeFactory.instance.textNode(version));
            listed.removeIf(each -> each.name().equals(name));
            listed.add(entry);
            changes.add(new EntryChange(entry, false));
            revision = changed;
        }

        void remove(long changed, String name) {
            listed.removeIf(each -> each.name().equals(name));
            changes.add(
                    new EntryChange(
                            new StoredEntry(name, changed, JsonNodeFactory.instance.nullNode()),
                            true));
            revision = changed;
        }

        @Override
        public Promise<EntryPage> list(String kind, Optional<String> after, Freshness freshness) {
            return Promise.of(new EntryPage(List.copyOf(listed), false, revision));
        }

        @Override
        public Promise<EntryChanges> watch(String kind, long after, long waitMillis) {
            if (after < oldestRevision) {
                return Promise.of(EntryChanges.HISTORY_LOST);
            }
            List<EntryChange> answer =
                    changes.stream()
                            .filter(each -> each.entry().revision() > after)
                            .limit(changesPerAnswer)
                            .toList();
            long at = answer.isEmpty() ? after : answer.get(answer.size() - 1).entry().revision();
            return Promise.of(new EntryChanges(answer, at, false));
        }

        @Override
        public Promise<Void> ping(String kind) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Promise<Void> put(String kind, String name, JsonNode value) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Promise<Void> replace(String kind, String name, JsonNode value) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Promise<Void> create(String kind, String name, JsonNode value) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Promise<Void> remove(String kind, String name, Optional<Long> expected) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void close() {}
    }

    /** Parses targets of one service; an entry without a version is malformed. */
    private static final class VersionReader implements EntryReader {

        @Override
        public String configurationKind() {
            return "configuration";
        }

        @Override
        public String configurationName() {
            return "main";
        }

        @Override
        public String targetKind() {
            return "targets";
        }

        @Override
        public String evacuationKind() {
            return "evacuations";
        }

        @Override
        public String gatewayKind() {
            return "gateways";
        }

        @Override
        public String quarantinedRequestKind() {
            return "requests";
        }

        @Override
        public String originKind() {
            throw new UnsupportedOperationException();
        }

        @Override
        public String versionKind() {
            return "versions";
        }

        @Override
        public GatewayConfiguration configuration(JsonNode value) {
            throw new UnsupportedOperationException();
        }

        @Override
        public DirectoryTarget target(String id, JsonNode value) {
            if (value.asText().isEmpty()) {
                throw MartenwellException.of(ErrorKind.INVALID_DOCUMENT, "No version.");
            }
            return new DirectoryTarget(
                            id,
                            OptionalLong.empty(),
                            "service",
                            InetSocketAddress.createUnresolved("host", 1),
                            "domain",
                            1,
                            false)
                    .withVersion(value.asText());
        }
    }
}
