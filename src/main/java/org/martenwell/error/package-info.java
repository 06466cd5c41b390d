/**
 * Error kinds with their HTTP statuses, outcomes and exit codes, and the exception that carries
 * them.
 */
package org.martenwell.error;
