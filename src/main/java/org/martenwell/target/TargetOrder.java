package org.martenwell.target;

/**
 * An order to load or unload a model.
 *
 * @param fence The fence; a target that checks fences obeys none lower than one it has seen.
 * @param model The model.
 * @param load {@code true} to load it, {@code false} to unload it.
 */
public record TargetOrder(long fence, String model, boolean load) {}
