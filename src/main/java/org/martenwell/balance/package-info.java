/**
 * The choice of a target for each request, from the targets' loads, prompt caches, health and
 * availability. The classes use no sockets, threads or clocks: callers pass the time and the state
 * of the targets. They are not thread-safe.
 */
package org.martenwell.balance;
