package org.martenwell.router;

import org.martenwell.error.MartenwellException;

/** Is told of the course of a stream. Exactly one of the three ends is told, once. */
interface StreamListener {

    /**
     * Called when whole events were passed on.
     *
     * @param count How many.
     */
    void events(int count);

    /**
     * Called when a broken stream is resumed.
     *
     * @param lastId The id of the last whole event.
     */
    void resumed(String lastId);

    /** Called when the stream ended whole. */
    void ended();

    /** Called when the caller left. */
    void left();

    /**
     * Called when the stream could not go on.
     *
     * @param failure Why.
     */
    void failed(MartenwellException failure);
}
