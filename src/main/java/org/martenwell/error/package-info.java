/**
 * The closed list of error kinds, the outcome that each one states, and the exception that carries
 * it.
 */
package org.martenwell.error;
