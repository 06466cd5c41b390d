/** Structured logs and metrics. */
package org.martenwell.observe;
