package org.martenwell.gateway;

import org.martenwell.balance.TargetLoad;
import org.martenwell.exchange.TargetConnections;

/**
 * A target that the gateway deals with.
 *
 * @param load What is known of it.
 * @param connections The connections to it.
 */
record KnownTarget(TargetLoad load, TargetConnections connections) {}
