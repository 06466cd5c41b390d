/**
 * Gateways: they take callers' requests by routes and hand them to targets of a directory. This
 * package holds the life of a request and what joins the decisions of other packages.
 */
package org.martenwell.gateway;
