package org.martenwell.standin;

import java.util.List;

/**
 * The settings of the load generator.
 *
 * @param seed The seed of the random number generator.
 * @param seconds The duration of the measured load, in seconds.
 * @param warmUpSeconds The duration of the warm-up before the measurement, in seconds.
 * @param organisations The load of each organisation.
 */
public record LoadSettings(
        long seed, double seconds, double warmUpSeconds, List<OrganisationLoad> organisations) {}
