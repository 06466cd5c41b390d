package org.martenwell.standin;

import java.util.ArrayList;
import java.util.List;
import org.martenwell.objects.Box;
import org.martenwell.objects.BoxState;

/** The box list of a stand-in platform, which shows changes only after a lag. */
final class BoxList {

    /** How late changes are shown, in milliseconds. */
    private final long lagMillis;

    /** The boxes as they are shown. */
    private final List<Box> shown;

    /** The changes that are not shown yet. */
    private final List<BoxChange> pending = new ArrayList<>();

    /**
     * Creates a list.
     *
     * @param boxes The boxes.
     * @param lagMillis How late changes are shown, in milliseconds.
     */
    BoxList(List<Box> boxes, long lagMillis) {
        this.shown = new ArrayList<>(boxes);
        this.lagMillis = lagMillis;
    }

    /**
     * Changes the state of a box.
     *
     * @param name The box's name.
     * @param state The state.
     * @param now The time.
     */
    void change(String name, BoxState state, long now) {
        pending.add(new BoxChange(name, state, now + lagMillis));
    }

    /**
     * Returns the boxes.
     *
     * @param now The time.
     * @return The boxes as they are shown.
     */
    List<Box> boxes(long now) {
        for (BoxChange change : List.copyOf(pending)) {
            if (change.shownAt() <= now) {
                pending.remove(change);
                shown.replaceAll(box -> box.name().equals(change.name()) ? with(box, change) : box);
            }
        }
        return List.copyOf(shown);
    }

    /**
     * Returns a box in another state.
     *
     * @param box The box.
     * @param change The change.
     * @return The changed box.
     */
    private static Box with(Box box, BoxChange change) {
        return new Box(box.name(), box.role(), box.address(), box.failureDomain(), change.state());
    }
}
