package org.martenwell.configuration;

import java.util.List;

/**
 * The configuration of a fleet, as it is read from JSON.
 *
 * @param models The models.
 * @param services The plain services.
 * @param contracts The contracts.
 * @param policies The policies.
 * @param organisations The organisations.
 * @param targets The targets.
 * @param policyHeaders The request headers that policies may read, in lower case.
 */
public record FleetConfiguration(
        List<Model> models,
        List<Service> services,
        List<Contract> contracts,
        List<Policy> policies,
        List<Organisation> organisations,
        List<Target> targets,
        List<String> policyHeaders) {}
