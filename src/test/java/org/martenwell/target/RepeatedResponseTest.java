package org.martenwell.target;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.csp.consumer.ChannelConsumers;
import io.activej.promise.Promise;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.martenwell.configuration.PoolKind;
import org.martenwell.configuration.Target;
import org.martenwell.http.AsyncHttpClient;
import org.martenwell.service.EventLoopThread;
import org.martenwell.target.RepeatingTarget.Responses;
import org.martenwell.target.RepeatingTarget.Timing;

/**
 * Guards against a target that responds twice, and whose second response becomes the response to
 * another request.
 */
class RepeatedResponseTest {

    private static final int REQUESTS = 24;

    private static final long TIMEOUT_MILLIS = 10_000;

    private final EventLoopThread loop = EventLoopThread.start("repeated-response");

    private final HttpTargetConnector connector =
            new HttpTargetConnector(
                    AsyncHttpClient.single(loop.loop(), loop.loop()::currentTimeMillis, 1 << 20));

    @AfterEach
    void stop() {
        loop.stop();
    }

    @ParameterizedTest
    @EnumSource(Timing.class)
    void testRepeatableRequestGetsItsOwnResponse(Timing timing) throws IOException {
        assertThat(others(timing, target -> connector.start(target, request("POST", true))))
                .isEmpty();
    }

    @ParameterizedTest
    @EnumSource(Timing.class)
    void testOtherRequestGetsItsOwnResponse(Timing timing) throws IOException {
        assertThat(others(timing, target -> connector.start(target, request("POST", false))))
                .isEmpty();
    }

    @ParameterizedTest
    @EnumSource(Timing.class)
    void testResumedStreamIsItsOwn(Timing timing) throws IOException {
        assertThat(others(timing, target -> connector.resume(target, "r", "1"))).isEmpty();
    }

    /** The announced body never comes, and nothing else may be taken for it. */
    @ParameterizedTest
    @EnumSource(Timing.class)
    @Timeout(60)
    void testHeadRequestGetsItsOwnResponse(Timing timing) throws IOException {
        assertThat(
                        others(
                                timing,
                                number -> new Responses(head(status(number), 9), head(200, 9)),
                                number -> status(number) + " ",
                                target -> connector.start(target, request("HEAD", true))))
                .isEmpty();
    }

    @ParameterizedTest
    @EnumSource(Timing.class)
    void testLoadReportIsCurrent(Timing timing) throws IOException {
        List<Integer> outdated = new ArrayList<>();
        try (RepeatingTarget repeating =
                new RepeatingTarget(
                        timing, number -> new Responses(report(number), report(number)))) {
            for (int number = 0; number < REQUESTS; number++) {
                LoadReport report = loop.call(() -> connector.load(target(repeating)));
                if (report.running() != number) {
                    outdated.add(number);
                }
            }
        }
        assertThat(outdated).isEmpty();
    }

    /** Sends a request. */
    private interface Call {

        Promise<TargetResponse> send(Target target);
    }

    /** Sends requests whose responses have bodies and lists what isn't the first one to its own. */
    private List<String> others(Timing timing, Call call) throws IOException {
        return others(
                timing,
                number ->
                        new Responses(
                                whole(status(number), number + " first"),
                                whole(200, number + " second")),
                number -> status(number) + " " + number + " first",
                call);
    }

    /** Sends requests one after the other and lists what isn't the expected response. */
    private List<String> others(
            Timing timing, IntFunction<Responses> responses, IntFunction<String> own, Call call)
            throws IOException {
        List<String> others = new ArrayList<>();
        try (RepeatingTarget repeating = new RepeatingTarget(timing, responses)) {
            for (int number = 0; number < REQUESTS; number++) {
                String received = loop.call(() -> read(call.send(target(repeating))));
                if (!received.equals(own.apply(number))) {
                    others.add(received + " in place of " + own.apply(number));
                }
            }
        }
        return others;
    }

    private static Promise<String> read(Promise<TargetResponse> response) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        return response.then(
                        each ->
                                each.body()
                                        .streamTo(
                                                ChannelConsumers.ofConsumer(
                                                        piece -> body.writeBytes(piece.asArray())))
                                        .map(
                                                ignored ->
                                                        each.status()
                                                                + " "
                                                                + body.toString(
                                                                        StandardCharsets.UTF_8)))
                .then(
                        (text, failure) ->
                                Promise.of(failure == null ? text : String.valueOf(failure)));
    }

    private static int status(int number) {
        return number % 2 == 0 ? 200 : 500;
    }

    private static String head(int status, int length) {
        return "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n".formatted(status, length);
    }

    private static String whole(int status, String body) {
        return head(status, body.length()) + body;
    }

    private static String report(int running) {
        return whole(
                200,
                "{\"slots\":1,\"running\":%d,\"waiting\":0,\"leaving\":false,\"serves\":[]}"
                        .formatted(running));
    }

    private static Target target(RepeatingTarget repeating) {
        return new Target("t", repeating.address(), "d", PoolKind.MODEL, List.of("m"), 2, true);
    }

    private static TargetRequest request(String method, boolean repeatable) {
        return new TargetRequest(
                "r", method, "/", List.of(), new byte[0], 5, repeatable, TIMEOUT_MILLIS);
    }
}
