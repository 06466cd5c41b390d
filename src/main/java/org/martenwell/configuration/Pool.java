package org.martenwell.configuration;

/**
 * The targets that serve one model or one plain service, as seen by requests for it.
 *
 * @param kind Whether a model or a plain service is meant.
 * @param name The name of the model or plain service.
 */
public record Pool(PoolKind kind, String name) {

    /**
     * Returns the pool of a model.
     *
     * @param name The model's name.
     * @return The pool.
     */
    public static Pool ofModel(String name) {
        return new Pool(PoolKind.MODEL, name);
    }

    /**
     * Returns the pool of a plain service.
     *
     * @param name The service's name.
     * @return The pool.
     */
    public static Pool ofService(String name) {
        return new Pool(PoolKind.SERVICE, name);
    }

    @Override
    public String toString() {
        return kind == PoolKind.MODEL ? "model:" + name : "service:" + name;
    }
}
