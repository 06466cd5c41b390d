/**
 * The gateway daemon: accepts callers' HTTP requests, forwards them to targets that the directory
 * lists, and exchanges load reports with its peers. This package holds the life cycle of a request
 * and connects the routing, admission, balancing and quarantine packages.
 */
package org.martenwell.gateway;
