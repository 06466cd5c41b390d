/** Prompts as chains of parts, and which parts a target probably keeps. Plain objects. */
package org.martenwell.prompt;
