/**
 * Prompts as sequences of shared parts, and estimates of which parts targets have cached. The
 * classes are not thread-safe.
 */
package org.martenwell.prompt;
