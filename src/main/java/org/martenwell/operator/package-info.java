/** What operators see: health, readiness, metrics, status and configuration. */
package org.martenwell.operator;
