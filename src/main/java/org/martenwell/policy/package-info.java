/** Policies: short CEL programs that admit requests with a priority or refuse them. */
package org.martenwell.policy;
