package org.martenwell.standin;

import org.martenwell.objects.BoxState;

/**
 * A pending state change of a box.
 *
 * @param name The name of the box.
 * @param state The new state.
 * @param visibleAt The time from which the list shows it, in milliseconds of the event loop.
 */
record BoxChange(String name, BoxState state, long visibleAt) {}
