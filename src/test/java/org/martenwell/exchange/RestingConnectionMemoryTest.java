package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.martenwell.service.IpAddress;
import org.martenwell.service.LoopThread;
import org.martenwell.service.LoopbackPorts;

/**
 * Symptom: a gateway of a large fleet ends with {@code OutOfMemoryError} some seconds after many of
 * its peers were killed, with 4,856 files open and a heap of 96 MB.
 *
 * <p>Sequence: the callers of the killed gateways connect to those that are left, send a request
 * each and keep their connections open.
 *
 * <p>Cause: a connection kept the buffer in which its last request's body had been gathered: 15.4
 * KB behind a body of 12 KB and 134 KB behind one of 70 KB, against 3.5 KB behind a body of 100
 * bytes. 4,000 resting connections so held 60 MB.
 *
 * <p>Settled by the heap in use before and after 1,000 connections, after collections.
 */
final class RestingConnectionMemoryTest {

    /** How many connections rest. */
    private static final int CONNECTIONS = 200;

    /** The length of each request's body, in bytes. */
    private static final int BODY_BYTES = 100_000;

    /** What a resting connection may hold, in bytes; half of it is not used today. */
    private static final long MAX_BYTES = 10_000;

    private final LoopThread thread = LoopThread.start("resting-connections");

    private final List<Socket> callers = new ArrayList<>();

    @AfterEach
    void stop() throws IOException {
        for (Socket each : callers) {
            each.close();
        }
        thread.stop();
    }

    @Test
    void testRestingConnectionDoesNotHoldItsLastRequest() throws IOException {
        String address = LoopbackPorts.free(1).get(0);
        CallerServer server =
                new CallerServer(
                        thread.loop(),
                        IpAddress.of(address),
                        exchange ->
                                exchange.respond(
                                        200,
                                        DefaultHttpHeadersFactory.headersFactory().newHeaders(),
                                        new byte[0]));
        thread.call(server::start);
        callOnNew(address);
        long before = heapBytes();
        for (int count = 0; count < CONNECTIONS; count++) {
            callOnNew(address);
        }
        assertThat((heapBytes() - before) / CONNECTIONS).isLessThan(MAX_BYTES);
    }

    /** Sends a request on a new connection, waits for the answer's first byte and keeps it open. */
    private void callOnNew(String address) throws IOException {
        Socket caller =
                new Socket(IpAddress.of(address).getAddress(), IpAddress.of(address).getPort());
        callers.add(caller);
        String head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n";
        caller.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        caller.getOutputStream().write(new byte[BODY_BYTES]);
        assertThat(caller.getInputStream().read()).isEqualTo('H');
    }

    private static long heapBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
