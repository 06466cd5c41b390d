package org.martenwell.directory;

import java.util.Map;
import org.martenwell.route.GatewayConfiguration;

/** Is told of what a directory holds. */
public interface DirectoryListener {

    /**
     * Called for each configuration that is newer than all before.
     *
     * @param configuration The configuration.
     * @param document The document that it was read from.
     */
    void configured(GatewayConfiguration configuration, String document);

    /**
     * Called when targets changed.
     *
     * @param targets All targets by id.
     */
    void targets(Map<String, DirectoryTarget> targets);

    /**
     * Called when gateways changed.
     *
     * @param members All gateways by name, this one among them.
     */
    void members(Map<String, GatewayMember> members);
}
