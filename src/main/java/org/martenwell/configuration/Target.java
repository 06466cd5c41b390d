package org.martenwell.configuration;

import java.util.List;
import java.util.stream.Collectors;

/**
 * A target that serves requests.
 *
 * @param name The target's name.
 * @param address Its IP number and port.
 * @param failureDomain The failure domain it stands in.
 * @param kind Whether it serves models or plain services.
 * @param serves The names of the models or plain services that it serves.
 * @param slots How many requests it runs at once.
 * @param checksFences {@code true} if it checks the fence of an order.
 */
public record Target(
        String name,
        String address,
        String failureDomain,
        PoolKind kind,
        List<String> serves,
        int slots,
        boolean checksFences) {

    /**
     * Returns the pools that this target belongs to.
     *
     * @return The pools.
     */
    public List<Pool> pools() {
        return serves.stream().map(name -> new Pool(kind, name)).collect(Collectors.toList());
    }

    /**
     * Returns whether this target serves a pool.
     *
     * @param pool The pool.
     * @return {@code true} if it does.
     */
    public boolean serves(Pool pool) {
        return kind == pool.kind() && serves.contains(pool.name());
    }
}
