package org.martenwell.router;

import org.martenwell.error.MartenwellException;

/**
 * Callbacks of a relayed stream. Exactly one of {@link #completed()}, {@link #disconnected()} and
 * {@link #failed} is called, once.
 */
interface StreamListener {

    /**
     * Called when complete events are relayed.
     *
     * @param count The number of events that carry data.
     */
    void events(int count);

    /**
     * Called before an interrupted stream is resumed.
     *
     * @param lastId The id of the last complete event.
     */
    void resumed(String lastId);

    /** Called when the stream ended with its end marker. */
    void completed();

    /** Called when the caller disconnected before the end of the stream. */
    void disconnected();

    /**
     * Called when the stream could not be resumed.
     *
     * @param failure The error that the caller receives as the last event.
     */
    void failed(MartenwellException failure);
}
