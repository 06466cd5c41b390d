package org.martenwell.router;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.consumer.ChannelConsumers;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.martenwell.configuration.PoolKind;
import org.martenwell.configuration.Target;
import org.martenwell.error.MartenwellException;
import org.martenwell.target.CacheEvent;
import org.martenwell.target.LoadReport;
import org.martenwell.target.TargetConnector;
import org.martenwell.target.TargetOrder;
import org.martenwell.target.TargetRequest;
import org.martenwell.target.TargetResponse;

class StreamRelayTest {

    private static final Target TARGET =
            new Target("t", "127.0.0.1:1", "d", PoolKind.MODEL, List.of("m"), 1, true);

    private final Eventloop loop = Eventloop.builder().withCurrentThread().build();
    private final List<String> log = new ArrayList<>();
    private final Deque<ChannelSupplier<ByteBuf>> resumedStreams = new ArrayDeque<>();

    @Test
    void testCompleteStreamIsRelayedUnchanged() {
        String stream = event(0) + event(1) + "data: [DONE]\n\n";
        assertThat(read(relay(chunks(stream.substring(0, 7), stream.substring(7)))))
                .isEqualTo(stream);
        assertThat(log).containsExactly("events 2", "completed");
    }

    @Test
    void testInterruptedStreamResumesAfterLastCompleteEvent() {
        resumedStreams.add(chunks(event(1) + "data: [DONE]\n\n"));
        String text = read(relay(interrupted(event(0) + "id: 1\nda")));
        assertThat(text).isEqualTo(event(0) + event(1) + "data: [DONE]\n\n");
        assertThat(log)
                .containsExactly("events 1", "resumed 0", "resume 0", "events 1", "completed");
    }

    @Test
    void testTruncatedStreamEndsWithErrorEvent() {
        String text = read(relay(chunks("id: 0\nda")));
        assertThat(text).contains("stream_broken").doesNotContain("[DONE]");
        assertThat(log).containsExactly("failed");
    }

    @Test
    void testNumberOfResumesIsLimited() {
        for (int attempt = 0; attempt < 5; attempt++) {
            resumedStreams.add(interrupted(""));
        }
        String text = read(relay(interrupted(event(0))));
        assertThat(text).startsWith(event(0)).contains("stream_broken");
        assertThat(resumedStreams).hasSize(2);
    }

    @Test
    void testSourceIsReadOnDemandOnly() {
        AtomicInteger read = new AtomicInteger();
        StreamRelay relay =
                relay(
                        ChannelSuppliers.ofSupplier(
                                () -> {
                                    read.incrementAndGet();
                                    return buffer(event(read.get()));
                                }));
        loop.run();
        assertThat(read).hasValue(0);
        relay.get();
        loop.run();
        assertThat(read).hasValue(1);
    }

    @Test
    void testDisconnectOfCallerCancelsRequest() {
        StreamRelay relay = relay(chunks(event(0), event(1)));
        relay.get();
        loop.run();
        relay.closeEx(new IOException("disconnected"));
        loop.run();
        assertThat(log).containsExactly("events 1", "cancel", "disconnected");
    }

    private StreamRelay relay(ChannelSupplier<ByteBuf> source) {
        return new StreamRelay(
                loop,
                loop::currentTimeMillis,
                new FakeConnector(),
                TARGET,
                "id",
                source,
                new Listener());
    }

    private String read(StreamRelay relay) {
        StringBuilder text = new StringBuilder();
        loop.post(
                () ->
                        relay.streamTo(
                                ChannelConsumers.ofConsumer(
                                        buffer ->
                                                text.append(
                                                        buffer.asString(StandardCharsets.UTF_8)))));
        loop.run();
        return text.toString();
    }

    private static String event(int id) {
        return "id: " + id + "\ndata: {\"n\":" + id + "}\n\n";
    }

    private static ByteBuf buffer(String text) {
        return ByteBuf.wrapForReading(text.getBytes(StandardCharsets.UTF_8));
    }

    private static ChannelSupplier<ByteBuf> chunks(String... texts) {
        return ChannelSuppliers.ofStream(List.of(texts).stream().map(StreamRelayTest::buffer));
    }

    private static ChannelSupplier<ByteBuf> interrupted(String text) {
        return ChannelSuppliers.concat(
                chunks(text.isEmpty() ? ": x\n\n" : text),
                ChannelSuppliers.ofException(new IOException("cut")));
    }

    /** Connector that resumes streams with prepared ones. */
    private final class FakeConnector implements TargetConnector {

        @Override
        public Promise<TargetResponse> start(Target target, TargetRequest request) {
            return Promise.ofException(new IOException("unused"));
        }

        @Override
        public Promise<TargetResponse> resume(Target target, String requestId, String lastEvent) {
            log.add("resume " + lastEvent);
            return Promise.of(new TargetResponse(200, List.of(), resumedStreams.poll(), true));
        }

        @Override
        public Promise<Void> cancel(Target target, String requestId) {
            log.add("cancel");
            return Promise.complete();
        }

        @Override
        public Promise<LoadReport> load(Target target) {
            return Promise.ofException(new IOException("unused"));
        }

        @Override
        public Promise<List<CacheEvent>> cacheEvents(Target target, long after) {
            return Promise.ofException(new IOException("unused"));
        }

        @Override
        public Promise<Void> order(Target target, TargetOrder order) {
            return Promise.ofException(new IOException("unused"));
        }
    }

    /** Records the callbacks in the log. */
    private final class Listener implements StreamListener {

        @Override
        public void events(int count) {
            log.add("events " + count);
        }

        @Override
        public void resumed(String lastId) {
            log.add("resumed " + lastId);
        }

        @Override
        public void completed() {
            log.add("completed");
        }

        @Override
        public void disconnected() {
            log.add("disconnected");
        }

        @Override
        public void failed(MartenwellException failure) {
            log.add("failed");
        }
    }
}
