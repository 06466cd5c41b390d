/**
 * Which target serves a request and when. Plain objects that are given the time and what is known:
 * loads, prompt memory, health. They hold no socket, thread or clock.
 */
package org.martenwell.balance;
