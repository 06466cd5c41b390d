package org.martenwell.peer;

/**
 * Notice that an offloaded request needs no response, because its caller has disconnected.
 *
 * @param sender The gateway at which the request arrived.
 * @param id The number of the request.
 */
public record OffloadedRequestCancelled(String sender, long id) implements OffloadMessage {}
