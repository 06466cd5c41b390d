/**
 * Structured logging through a JSON back end for the Log4j API, and metrics in Prometheus format.
 */
package org.martenwell.observe;
