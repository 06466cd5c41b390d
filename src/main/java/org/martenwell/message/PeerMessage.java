package org.martenwell.message;

/**
 * Message sent from one router to another. Every implementation needs a type in {@code
 * org.martenwell.peer.MessageType}, which defines its encoding.
 */
public interface PeerMessage {}
