package org.martenwell.message;

/** A message from one router to another. */
public interface PeerMessage {}
