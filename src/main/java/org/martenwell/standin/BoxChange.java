package org.martenwell.standin;

import org.martenwell.objects.BoxState;

/**
 * A change of a box that is not shown yet.
 *
 * @param name The box's name.
 * @param state The new state.
 * @param shownAt When it is shown.
 */
record BoxChange(String name, BoxState state, long shownAt) {}
