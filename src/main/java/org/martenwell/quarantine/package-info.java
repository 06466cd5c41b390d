/**
 * Quarantine of requests that crash the targets that run them: request fingerprints, the evidence
 * against each request, and the decision to refuse it. The classes do no input or output and read
 * no clock; callers pass in events and the current time.
 */
package org.martenwell.quarantine;
