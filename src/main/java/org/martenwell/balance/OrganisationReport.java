package org.martenwell.balance;

import org.martenwell.share.ShareSums;

/**
 * What an organisation asked and got at a gateway in the last window.
 *
 * @param organisation The organisation.
 * @param sums The sums.
 */
public record OrganisationReport(String organisation, ShareSums sums) {}
