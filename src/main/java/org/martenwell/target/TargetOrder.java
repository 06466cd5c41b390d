package org.martenwell.target;

/**
 * An order to load or unload a model.
 *
 * @param fence The fencing token; a target that checks it rejects orders with a lower one than
 *     seen.
 * @param model The model.
 * @param load {@code true} to load the model, {@code false} to unload it.
 */
public record TargetOrder(long fence, String model, boolean load) {}
