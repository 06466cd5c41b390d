package org.martenwell.router;

import org.martenwell.configuration.ActiveConfiguration;
import org.martenwell.schedule.OrganisationTerms;

/** Scheduling terms of organisations, taken from the contracts of the active configuration. */
final class ContractTerms implements OrganisationTerms {

    private final ActiveConfiguration configuration;

    /**
     * Creates the terms of a configuration.
     *
     * @param configuration The configuration that contains the contracts.
     */
    ContractTerms(ActiveConfiguration configuration) {
        this.configuration = configuration;
    }

    @Override
    public double weight(String organisation) {
        return configuration
                .organisation(organisation)
                .map(each -> configuration.contract(each).weight())
                .orElse(1.0);
    }

    @Override
    public int maxConcurrent(String organisation) {
        return configuration
                .organisation(organisation)
                .map(each -> configuration.contract(each).maxConcurrent())
                .orElse(Integer.MAX_VALUE);
    }
}
