/**
 * Discovery of the configuration, the targets and the gateways of a fleet. {@link
 * org.martenwell.directory.FleetDirectory} abstracts from the store that a deployment provides.
 */
package org.martenwell.directory;
