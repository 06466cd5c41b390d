/**
 * Measures from the logs of gateways how evenly organisations were served. The classes are plain
 * objects; reading files is up to the caller.
 */
package org.martenwell.fairness;
