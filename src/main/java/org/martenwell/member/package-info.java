/** Membership of routers, based on heartbeats, and the assignment of targets to coordinators. */
package org.martenwell.member;
