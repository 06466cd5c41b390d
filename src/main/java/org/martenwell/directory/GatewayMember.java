package org.martenwell.directory;

/**
 * Gateway as described by its own entry in the directory.
 *
 * @param name The unique name.
 * @param failureDomain The failure domain; empty if unknown.
 * @param peerAddress The address that accepts connections from peers.
 * @param processors The available processor time, as a number of processors of standard speed; 0 if
 *     unknown.
 * @param protocol The protocol of messages between gateways, which tells the types of messages that
 *     the gateway understands; 0 for those that state none.
 */
public record GatewayMember(
        String name, String failureDomain, String peerAddress, double processors, int protocol) {

    /** The protocol with messages on the versions of targets. */
    public static final int VERSION_PROTOCOL = 1;

    /** The protocol in which gateways deny that they know a stream, and send all that they know. */
    public static final int ORIGIN_PROTOCOL = 2;

    /** The protocol with capacity notices and offloaded requests. */
    public static final int OFFLOAD_PROTOCOL = 3;

    /**
     * Creates a member of this program's protocol.
     *
     * @param name The unique name.
     * @param failureDomain The failure domain; empty if unknown.
     * @param peerAddress The address that accepts connections from peers.
     * @param processors The available processor time.
     */
    public GatewayMember(String name, String failureDomain, String peerAddress, double processors) {
        this(name, failureDomain, peerAddress, processors, OFFLOAD_PROTOCOL);
    }
}
