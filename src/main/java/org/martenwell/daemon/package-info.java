/** Assembles a router's parts into one process. */
package org.martenwell.daemon;
