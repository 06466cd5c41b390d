/**
 * The HTTP interface for callers: OpenAI-compatible paths for models and {@code /services/NAME/}
 * for plain services.
 */
package org.martenwell.caller;
