package org.martenwell.standin;

import java.util.List;

/**
 * What load to send.
 *
 * @param seed Seeds what is random.
 * @param seconds How long to send, in seconds.
 * @param warmUpSeconds How long to send before anything is counted, in seconds.
 * @param organisations The load of each organisation.
 */
public record LoadSettings(
        long seed, double seconds, double warmUpSeconds, List<OrganisationLoad> organisations) {}
