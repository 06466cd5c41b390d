/**
 * Where gateways learn the configuration, the targets and each other from. What a deployment offers
 * for that stands behind {@link org.martenwell.directory.FleetDirectory}.
 */
package org.martenwell.directory;
