package org.martenwell.balance;

import java.util.Collection;

/** The rule that adds no cost to any placement. */
public final class UnrestrictedPlacement implements PlacementRule {

    /** The only instance. */
    public static final UnrestrictedPlacement INSTANCE = new UnrestrictedPlacement();

    private UnrestrictedPlacement() {}

    @Override
    public void update(Collection<TargetLoad> engines, long now) {}

    @Override
    public double costMillis(
            TargetLoad load, double prefillMillis, int running, double backlogMillis) {
        return 0;
    }

    @Override
    public void sent(double prefillMillis, long now) {}
}
