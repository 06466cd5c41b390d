package org.martenwell.http;

import io.activej.http.HttpClient;
import io.activej.http.HttpRequest;
import java.net.InetSocketAddress;

/**
 * An HTTP client inspector that marks requests whose connection could not be opened. No part of
 * such a request was sent, so a retry is safe.
 */
public final class ConnectFailureInspector extends HttpClient.JmxInspector {

    /** Creates an inspector. */
    public ConnectFailureInspector() {}

    /**
     * Checks whether the connection of a request could not be opened, so that none of it was sent.
     *
     * @param request The request.
     * @return {@code true} if certainly no byte was sent.
     */
    public static boolean marked(HttpRequest request) {
        return request.getAttachmentKeys().contains(ConnectFailureInspector.class);
    }

    @Override
    public void onConnectError(
            HttpRequest request, InetSocketAddress address, Exception exception) {
        super.onConnectError(request, address, exception);
        request.attach(ConnectFailureInspector.class, this);
    }
}
