/**
 * Event loops, timers and network connections of a router. Decisions on scheduling, admission and
 * membership are made in other packages.
 */
package org.martenwell.router;
