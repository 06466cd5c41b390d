package org.martenwell.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.martenwell.balance.CachedPartUpdate;
import org.martenwell.balance.CapacityNotice;
import org.martenwell.balance.GatewayReport;
import org.martenwell.balance.LoadSums;
import org.martenwell.balance.TargetLoadReport;
import org.martenwell.balance.TargetSpeedReport;
import org.martenwell.configuration.Pool;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.member.Heartbeat;
import org.martenwell.message.PeerMessage;
import org.martenwell.quarantine.Fingerprint;
import org.martenwell.quarantine.QuarantineUpdate;
import org.martenwell.quarantine.QuarantineUpdateKind;
import org.martenwell.schedule.Demand;
import org.martenwell.schedule.FailureCount;
import org.martenwell.schedule.Holding;
import org.martenwell.schedule.ServiceEntry;
import org.martenwell.schedule.ServiceReport;
import org.martenwell.schedule.SlotGrant;
import org.martenwell.schedule.SlotGrants;
import org.martenwell.schedule.SlotReport;
import org.martenwell.share.ShareCounts;
import org.martenwell.share.ShareSums;
import org.martenwell.version.ServiceVersion;
import org.martenwell.version.StreamOrigin;
import org.martenwell.version.VersionHistory;
import org.martenwell.version.VersionSighting;

class MessageCodecTest {

    @Property(tries = 500, seed = "2")
    void testBatchDecodesToItsReports(@ForAll("messages") List<PeerMessage> messages) {
        List<GatewayReport> reports = reports(messages);
        assertThat(ReportBatches.reports(ReportBatches.of("relay", reports))).isEqualTo(reports);
    }

    @Property(tries = 500, seed = "1")
    void testMessagesSurviveEncodingAndDecoding(@ForAll("messages") List<PeerMessage> messages) {
        MessageWriter writer = new MessageWriter();
        MessageReader reader = new MessageReader();
        for (PeerMessage message : messages) {
            assertThat(reader.read(writer.write(message))).containsExactly(message);
        }
    }

    @Property(tries = 2_000, seed = "2")
    void testArbitraryBytesAreDecodedOrRejected(@ForAll byte[] bytes) {
        try {
            new MessageReader().read(bytes);
        } catch (MartenwellException rejection) {
            assertThat(rejection.kind()).isEqualTo(ErrorKind.BAD_FRAME);
        }
    }

    @Property(tries = 500, seed = "3")
    void testCorruptedMessagesAreDecodedOrRejected(
            @ForAll("messages") List<PeerMessage> messages, @ForAll int index, @ForAll byte value) {
        for (PeerMessage message : messages) {
            byte[] encoded = new MessageWriter().write(message);
            encoded[Math.floorMod(index, encoded.length)] = value;
            testArbitraryBytesAreDecodedOrRejected(encoded);
        }
    }

    @Property(tries = 300, seed = "4")
    void testCorruptedFramesAreRejected(
            @ForAll byte[] payload, @ForAll int index, @ForAll byte mask) {
        byte[] nonce = new byte[FrameCodec.NONCE_BYTES];
        byte[] frame = new FrameCodec("key", nonce).sign(payload);
        assertThat(new FrameCodec("key", nonce).verify(frame)).isEqualTo(payload);
        frame[Math.floorMod(index, frame.length)] ^= (byte) (mask | 1);
        assertThatThrownBy(() -> new FrameCodec("key", nonce).verify(frame))
                .isInstanceOf(MartenwellException.class);
    }

    @Property(tries = 50, seed = "5")
    void testReplayedFramesAreRejected(@ForAll byte[] payload) {
        byte[] nonce = new byte[FrameCodec.NONCE_BYTES];
        byte[] frame = new FrameCodec("key", nonce).sign(payload);
        FrameCodec receiver = new FrameCodec("key", nonce);
        receiver.verify(frame);
        assertThatThrownBy(() -> receiver.verify(frame)).isInstanceOf(MartenwellException.class);
    }

    @Provide
    Arbitrary<List<PeerMessage>> messages() {
        Arbitrary<String> names =
                Arbitraries.strings()
                        .alpha()
                        .numeric()
                        .withCharRange('\u0080', '\ud7ff')
                        .ofMaxLength(200);
        Arbitrary<Long> numbers = Arbitraries.longs().greaterOrEqual(0);
        Arbitrary<Integer> counts = Arbitraries.integers().greaterOrEqual(0);
        Arbitrary<Double> serviceAmounts =
                Arbitraries.longs().between(0, 1L << 40).map(l -> l / 1000.0);
        Arbitrary<Boolean> flags = Arbitraries.of(true, false);
        Arbitrary<PeerMessage> heartbeats =
                Combinators.combine(names, numbers, numbers, names, names, flags, numbers)
                        .as(Heartbeat::new);
        Arbitrary<ServiceEntry> entries =
                Combinators.combine(names, serviceAmounts, serviceAmounts, counts)
                        .as(ServiceEntry::new);
        Arbitrary<PeerMessage> serviceReports =
                Combinators.combine(
                                names,
                                numbers,
                                numbers,
                                serviceAmounts,
                                entries.list().ofMaxSize(5))
                        .as(ServiceReport::new);
        Arbitrary<Demand> demands =
                Combinators.combine(names, names, counts, Arbitraries.longs())
                        .as((pool, name, n, u) -> new Demand(Pool.ofService(pool), name, n, u));
        Arbitrary<Holding> holdings =
                Combinators.combine(names, numbers, names, numbers, numbers, counts, counts)
                        .as(Holding::new);
        Arbitrary<FailureCount> failures =
                Combinators.combine(names, numbers).as(FailureCount::new);
        Arbitrary<PeerMessage> slotReports =
                Combinators.combine(
                                names,
                                numbers,
                                numbers,
                                numbers,
                                flags,
                                demands.list().ofMaxSize(3),
                                holdings.list().ofMaxSize(3),
                                failures.list().ofMaxSize(3))
                        .as(SlotReport::new);
        Arbitrary<SlotGrant> grants =
                Combinators.combine(names, numbers, names, numbers, flags).as(SlotGrant::new);
        Arbitrary<PeerMessage> slotGrants =
                Combinators.combine(names, numbers, numbers, flags, grants.list().ofMaxSize(4))
                        .as(SlotGrants::new);
        Arbitrary<PeerMessage> configurationResponses =
                Combinators.combine(numbers, names).as(ConfigurationResponse::new);
        Arbitrary<PeerMessage> notices = Combinators.combine(names, flags).as(TargetNotice::new);
        Arbitrary<LoadSums> loadSums =
                Combinators.combine(counts, numbers, numbers).as(LoadSums::new);
        Arbitrary<ShareSums> shareSums =
                Combinators.combine(counts, counts, counts)
                        .as(
                                (requested, sent, withinShare) ->
                                        new ShareSums(requested, sent, withinShare));
        Arbitrary<Fingerprint> fingerprints =
                Combinators.combine(numbers, numbers).as(Fingerprint::new);
        Arbitrary<QuarantineUpdate> quarantineUpdates =
                Combinators.combine(fingerprints, Arbitraries.of(QuarantineUpdateKind.class), names)
                        .as(QuarantineUpdate::new);
        Arbitrary<PeerMessage> gatewayReports =
                Combinators.combine(
                                names,
                                numbers,
                                numbers,
                                Combinators.combine(names, loadSums)
                                        .as(TargetLoadReport::new)
                                        .list()
                                        .ofMaxSize(5),
                                Combinators.combine(
                                                numbers,
                                                Arbitraries.maps(names, shareSums).ofMaxSize(5))
                                        .as(ShareCounts::new),
                                Combinators.combine(names, numbers, numbers)
                                        .as(CachedPartUpdate::new)
                                        .list()
                                        .ofMaxSize(5),
                                names.list().ofMaxSize(5),
                                quarantineUpdates.list().ofMaxSize(5))
                        .as(GatewayReport::new);
        Arbitrary<PeerMessage> batches =
                Combinators.combine(names, gatewayReports.list().ofMaxSize(3))
                        .as((relay, reports) -> ReportBatches.of(relay, reports(reports)));
        Arbitrary<ServiceVersion> versions =
                Combinators.combine(names, names).as(ServiceVersion::new);
        Arbitrary<PeerMessage> originNotices =
                Combinators.combine(
                                names,
                                names,
                                Combinators.combine(Arbitraries.longs(), versions)
                                        .as(StreamOrigin::new)
                                        .list()
                                        .ofMaxSize(5))
                        .as(StreamOriginNotice::new);
        Arbitrary<PeerMessage> originRequests =
                Combinators.combine(names, Arbitraries.longs().list().ofMaxSize(5))
                        .as(StreamOriginRequest::new);
        Arbitrary<PeerMessage> versionNotices =
                Combinators.combine(
                                Arbitraries.longs(),
                                Combinators.combine(versions, numbers)
                                        .as(VersionSighting::new)
                                        .list()
                                        .ofMaxSize(5))
                        .as(VersionHistory::new)
                        .map(VersionNotice::new);
        Arbitrary<PeerMessage> originDenials =
                Combinators.combine(names, Arbitraries.longs().list().ofMaxSize(5))
                        .as(StreamOriginDenial::new);
        Arbitrary<PeerMessage> originsSent =
                Combinators.combine(names, Arbitraries.of(true, false)).as(StreamOriginsSent::new);
        Arbitrary<PeerMessage> recordNotices =
                versions.list().ofMaxSize(5).map(VersionRecordNotice::new);
        Arbitrary<PeerMessage> capacityNotices =
                Combinators.combine(
                                names,
                                counts,
                                Combinators.combine(names, counts, Arbitraries.longs())
                                        .as(TargetSpeedReport::new)
                                        .list()
                                        .ofMaxSize(5))
                        .as(CapacityNotice::new);
        Arbitrary<ByteBuffer> bytes =
                Arbitraries.bytes()
                        .array(byte[].class)
                        .ofMaxSize(200)
                        .map(each -> ByteBuffer.wrap(each).asReadOnlyBuffer());
        // The codecs of HTTP read one character per byte.
        Arbitrary<String> texts =
                Arbitraries.strings().withCharRange('\0', '\u00ff').ofMaxLength(100);
        Arbitrary<List<HeaderField>> headers =
                Combinators.combine(texts, texts).as(HeaderField::new).list().ofMaxSize(5);
        Arbitrary<PeerMessage> offloadedRequests =
                Combinators.combine(
                                Combinators.combine(names, Arbitraries.longs()).as(Map::entry),
                                numbers,
                                numbers,
                                texts,
                                texts,
                                headers,
                                bytes,
                                Combinators.combine(flags, flags).as(Map::entry))
                        .as(
                                (sender, version, held, method, target, fields, body, caller) ->
                                        new OffloadedRequest(
                                                sender.getKey(),
                                                sender.getValue(),
                                                version,
                                                held,
                                                method,
                                                target,
                                                fields,
                                                body,
                                                caller.getKey(),
                                                caller.getValue()));
        Arbitrary<PeerMessage> offloadedResponses =
                Combinators.combine(
                                names,
                                Combinators.combine(
                                                Arbitraries.longs(),
                                                Arbitraries.of(ResponsePartKind.class),
                                                counts,
                                                headers,
                                                bytes)
                                        .as(ResponsePart::new)
                                        .list()
                                        .ofMaxSize(5))
                        .as(OffloadedResponse::new);
        Arbitrary<PeerMessage> offloadCancellations =
                Combinators.combine(names, Arbitraries.longs()).as(OffloadedRequestCancelled::new);
        Arbitrary<PeerMessage> offloadProgress =
                Combinators.combine(names, Arbitraries.longs(), numbers)
                        .as(OffloadedResponseReceived::new);
        return Arbitraries.oneOf(
                        offloadedRequests,
                        offloadedResponses,
                        offloadCancellations,
                        offloadProgress,
                        capacityNotices,
                        recordNotices,
                        originNotices,
                        originRequests,
                        originDenials,
                        originsSent,
                        versionNotices,
                        batches,
                        heartbeats,
                        serviceReports,
                        slotReports,
                        slotGrants,
                        configurationResponses,
                        notices,
                        gatewayReports)
                .list()
                .ofMinSize(1)
                .ofMaxSize(6);
    }

    private static List<GatewayReport> reports(List<PeerMessage> messages) {
        return messages.stream()
                .filter(GatewayReport.class::isInstance)
                .map(GatewayReport.class::cast)
                .toList();
    }
}
