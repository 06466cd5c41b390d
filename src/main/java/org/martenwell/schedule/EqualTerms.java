package org.martenwell.schedule;

/** Weight 1 and no ceiling for everyone. */
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
