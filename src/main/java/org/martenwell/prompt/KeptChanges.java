package org.martenwell.prompt;

import java.util.List;

/**
 * How what a target keeps of prompts has changed.
 *
 * @param next Where to go on.
 * @param lost Whether changes before these are no longer known to the target.
 * @param parts The parts with what is kept of them now; 0 tokens if they were dropped.
 */
public record KeptChanges(long next, boolean lost, List<KeptPart> parts) {}
