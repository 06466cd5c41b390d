/**
 * Fair scheduling over the whole fleet, as plain objects: they are given the time and the messages
 * and hold no socket, no thread and no clock. Times are in milliseconds, service is in units of the
 * slot time of one token of the reference model.
 */
package org.martenwell.schedule;
