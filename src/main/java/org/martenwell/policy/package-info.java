/** Admission policies: CEL expressions that accept requests with a priority or refuse them. */
package org.martenwell.policy;
