/**
 * What callers see: OpenAI-compatible paths for models and {@code /services/NAME/} for the rest.
 */
package org.martenwell.caller;
