/** Membership of routers and the assignment of targets to keepers. */
package org.martenwell.member;
