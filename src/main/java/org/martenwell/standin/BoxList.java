package org.martenwell.standin;

import java.util.ArrayList;
import java.util.List;
import org.martenwell.objects.Box;
import org.martenwell.objects.BoxState;

/** The box list of the platform stand-in, which shows changes late, as the real platform does. */
final class BoxList {

    private final long lagMillis;

    private final List<Box> visibleBoxes;

    private final List<BoxChange> pending = new ArrayList<>();

    /**
     * Creates a list.
     *
     * @param boxes The initial boxes.
     * @param lagMillis The delay until a change is visible, in milliseconds.
     */
    BoxList(List<Box> boxes, long lagMillis) {
        this.visibleBoxes = new ArrayList<>(boxes);
        this.lagMillis = lagMillis;
    }

    /**
     * Schedules a state change of a box.
     *
     * @param name The name of the box.
     * @param state The new state.
     * @param now The current time, in milliseconds.
     */
    void change(String name, BoxState state, long now) {
        pending.add(new BoxChange(name, state, now + lagMillis));
    }

    /**
     * Applies the changes that are due and returns the list.
     *
     * @param now The current time, in milliseconds.
     * @return The boxes as visible at that time.
     */
    List<Box> boxes(long now) {
        for (BoxChange change : List.copyOf(pending)) {
            if (change.visibleAt() <= now) {
                pending.remove(change);
                visibleBoxes.replaceAll(
                        box -> box.name().equals(change.name()) ? with(box, change) : box);
            }
        }
        return List.copyOf(visibleBoxes);
    }

    private static Box with(Box box, BoxChange change) {
        return new Box(box.name(), box.role(), box.address(), box.failureDomain(), change.state());
    }
}
