/**
 * The HTTP interface for operators: health, readiness, metrics, status, configuration and drain.
 */
package org.martenwell.operator;
