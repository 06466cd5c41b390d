/** Admission policies: CEL expressions that accept requests with a priority or reject them. */
package org.martenwell.policy;
