package org.martenwell.http;

import io.activej.http.HttpClient;
import io.activej.http.HttpRequest;
import java.net.InetSocketAddress;

/** Marks requests whose connection could not be opened, so that no byte of them was written. */
public final class ConnectFailures extends HttpClient.JmxInspector {

    /** Creates an inspector. */
    public ConnectFailures() {}

    /**
     * Returns whether no byte of a request was written because its connection could not be opened.
     *
     * @param request The request.
     * @return {@code true} if that is certain.
     */
    public static boolean marked(HttpRequest request) {
        return request.getAttachmentKeys().contains(ConnectFailures.class);
    }

    @Override
    public void onConnectError(
            HttpRequest request, InetSocketAddress address, Exception exception) {
        super.onConnectError(request, address, exception);
        request.attach(ConnectFailures.class, this);
    }
}
