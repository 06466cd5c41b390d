/**
 * Fair scheduling of requests over all routers of a fleet. One router is the coordinator of each
 * target and grants its slots to routers. The classes perform no I/O and read no clock: messages
 * and the current time are passed in, so they can run in a simulation. Times are in milliseconds.
 * Service is measured in units, the slot time of one token of the reference model.
 */
package org.martenwell.schedule;
