/**
 * Small stand-ins for the platform and for targets, and a tool that sends load. They serve trials,
 * demonstrations and tests; nothing of a router depends on them.
 */
package org.martenwell.standin;
