package org.martenwell.configuration;

import java.util.List;
import java.util.stream.Collectors;

/**
 * A back end that serves requests.
 *
 * @param name The target's name.
 * @param address Its IP address and port.
 * @param failureDomain The failure domain that it runs in.
 * @param kind The kind of requests that it serves.
 * @param serves The names of the models or plain services that it serves.
 * @param slots The number of requests that it runs at once.
 * @param checksFences {@code true} if it rejects orders to load or unload a model that have an
 *     outdated fencing token.
 */
public record Target(
        String name,
        String address,
        String failureDomain,
        PoolKind kind,
        List<String> serves,
        int slots,
        boolean checksFences) {

    /** {@return the pools that this target belongs to, one for each name that it serves} */
    public List<Pool> pools() {
        return serves.stream().map(name -> new Pool(kind, name)).collect(Collectors.toList());
    }

    /**
     * Checks whether this target serves a pool.
     *
     * @param pool The pool.
     * @return {@code true} if kind and name match.
     */
    public boolean serves(Pool pool) {
        return kind == pool.kind() && serves.contains(pool.name());
    }
}
