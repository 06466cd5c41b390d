/** Hashing that all routers agree on. */
package org.martenwell.hash;
