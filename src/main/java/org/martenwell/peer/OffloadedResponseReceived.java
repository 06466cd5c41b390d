package org.martenwell.peer;

/**
 * Notice of the progress of a response to an offloaded request, which limits how much of it is
 * under way.
 *
 * @param sender The gateway at which the request arrived.
 * @param id The number of the request.
 * @param bytes The number of bytes of the response's body that were written to the caller so far.
 */
public record OffloadedResponseReceived(String sender, long id, long bytes)
        implements OffloadMessage {}
