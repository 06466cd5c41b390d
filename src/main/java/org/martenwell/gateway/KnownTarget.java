package org.martenwell.gateway;

import org.martenwell.balance.TargetLoad;
import org.martenwell.exchange.TargetConnections;

/**
 * A target of the directory with this gateway's view of it.
 *
 * @param load The load, health and availability of the target.
 * @param connections The pool of connections to the target.
 * @param crashes The crashes that are known.
 */
record KnownTarget(TargetLoad load, TargetConnections connections, CrashCounts crashes) {}
