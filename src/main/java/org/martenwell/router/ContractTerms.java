package org.martenwell.router;

import org.martenwell.configuration.ActiveConfiguration;
import org.martenwell.schedule.OrganisationTerms;

/** Reads the terms that scheduling needs from the configuration in force. */
final class ContractTerms implements OrganisationTerms {

    /** The configuration in force. */
    private final ActiveConfiguration configuration;

    /**
     * Creates terms.
     *
     * @param configuration The configuration in force.
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
