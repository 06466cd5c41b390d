package org.martenwell.balance;

/** The rule that adds no cost and permits all placements. */
public final class UnrestrictedPlacement implements PlacementRule {

    /** The only instance. */
    public static final UnrestrictedPlacement INSTANCE = new UnrestrictedPlacement();

    private UnrestrictedPlacement() {}

    @Override
    public double costMillis(
            TargetLoad load, double prefillMillis, int running, double backlogMillis) {
        return 0;
    }

    @Override
    public boolean permits(
            TargetLoad load, double prefillMillis, int running, double backlogMillis) {
        return true;
    }
}
