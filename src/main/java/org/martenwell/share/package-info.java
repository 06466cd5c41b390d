/**
 * Max-min fair shares of the fleet's capacity. Each gateway counts the tokens that organisations
 * request and that it sends to targets, exchanges the counts with its peers, and derives the same
 * shares from the sums. The promised capacity is the one configured for the fleet; the observed
 * capacity is what the fleet actually sends to its targets. The classes are not thread-safe.
 */
package org.martenwell.share;
