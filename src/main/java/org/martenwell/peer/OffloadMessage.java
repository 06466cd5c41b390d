package org.martenwell.peer;

import org.martenwell.message.PeerMessage;

/**
 * Message between a gateway that offloads requests and one that handles them. The receiver learns
 * from it which gateway opened the connection, since the loss of the connection may lose messages.
 */
public sealed interface OffloadMessage extends PeerMessage
        permits OffloadedRequest,
                OffloadedResponse,
                OffloadedRequestCancelled,
                OffloadedResponseReceived {

    /** {@return the name of the gateway that sent the message} */
    String sender();
}
