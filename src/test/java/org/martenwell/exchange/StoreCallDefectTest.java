package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpMethod;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.martenwell.error.MartenwellException;
import org.martenwell.service.EventLoopThread;

/**
 * Guards against calls to the store that never complete, or only at their timeout, since an error
 * was thrown while their connection was processed.
 */
final class StoreCallDefectTest {

    /** Longer than the test, in milliseconds. */
    private static final long CALL_TIMEOUT_MILLIS = 60_000;

    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

    private final EventLoopThread thread = EventLoopThread.start("store-defects");

    /** The number of the next response heads whose observer fails. */
    private final AtomicInteger failures = new AtomicInteger();

    @AfterEach
    void stop() {
        thread.stop();
    }

    @Test
    @Timeout(10)
    void testCallFailsAtOnceAndTheNextSucceeds() throws Exception {
        try (RawTarget target = new RawTarget(RawTarget.Ending.KEEP, RESPONSE)) {
            InternalHttpClient client = client(target);
            failures.set(1);
            assertThatThrownBy(() -> thread.call(() -> call(client)))
                    .isInstanceOf(MartenwellException.class)
                    .hasMessageContaining("DEFECT");
            assertThat(thread.call(() -> call(client)).status()).isEqualTo(200);
        }
    }

    /** What a caller of the client throws ends nothing but its own callback. */
    @Test
    @Timeout(10)
    void testCallBehindAFailingCallbackSucceeds() throws Exception {
        try (RawTarget target = new RawTarget(RawTarget.Ending.KEEP, RESPONSE)) {
            InternalHttpClient client = client(target);
            CountDownLatch called = new CountDownLatch(1);
            thread.call(
                    () -> {
                        call(client)
                                .subscribe(
                                        (response, failure) -> {
                                            called.countDown();
                                            throw new OutOfMemoryError("deliberate");
                                        });
                        return Promise.complete();
                    });
            assertThat(called.await(5, TimeUnit.SECONDS)).isTrue();
            assertThat(thread.call(() -> call(client)).status()).isEqualTo(200);
        }
    }

    private InternalHttpClient client(RawTarget target) {
        return new InternalHttpClient(
                thread.loop(),
                thread.loop()::currentTimeMillis,
                target.address(),
                head -> {
                    if (failures.getAndUpdate(count -> Math.max(0, count - 1)) > 0) {
                        throw new OutOfMemoryError("deliberate");
                    }
                });
    }

    private static Promise<BufferedResponse> call(InternalHttpClient client) {
        SettablePromise<BufferedResponse> result = new SettablePromise<>();
        client.call(
                        new OutboundRequest(
                                HttpMethod.GET,
                                "/",
                                DefaultHttpHeadersFactory.headersFactory().newHeaders(),
                                Body.EMPTY),
                        CALL_TIMEOUT_MILLIS)
                .subscribe(result::set);
        return result;
    }
}
