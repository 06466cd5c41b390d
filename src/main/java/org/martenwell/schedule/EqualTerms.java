package org.martenwell.schedule;

/** Contract terms with weight 1 and no concurrency limit for every organisation. */
public enum EqualTerms implements OrganisationTerms {

    /** The only instance. */
    INSTANCE;

    @Override
    public double weight(String organisation) {
        return 1;
    }

    @Override
    public int maxConcurrent(String organisation) {
        return Integer.MAX_VALUE;
    }
}
