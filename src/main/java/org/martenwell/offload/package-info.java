/**
 * The decision how many requests a gateway forwards to others because its box lacks processor time,
 * and to which of them. The classes use no sockets, threads or clocks: callers pass the time and
 * the loads. They are not thread-safe.
 */
package org.martenwell.offload;
