package org.martenwell.configuration;

/**
 * The set of targets that serve one model or one plain service.
 *
 * @param kind The kind of requests that the pool serves.
 * @param name The name of the model or plain service.
 */
public record Pool(PoolKind kind, String name) {

    /**
     * Returns the pool of a model.
     *
     * @param name The model's name.
     * @return The pool, whether or not a target serves it.
     */
    public static Pool ofModel(String name) {
        return new Pool(PoolKind.MODEL, name);
    }

    /**
     * Returns the pool of a plain service.
     *
     * @param name The service's name.
     * @return The pool, whether or not a target serves it.
     */
    public static Pool ofService(String name) {
        return new Pool(PoolKind.SERVICE, name);
    }

    @Override
    public String toString() {
        return kind == PoolKind.MODEL ? "model:" + name : "service:" + name;
    }
}
