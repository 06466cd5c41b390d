/**
 * Stand-ins for the platform and for targets, and a load generator, for demonstrations and tests.
 * Production code does not depend on this package.
 */
package org.martenwell.standin;
