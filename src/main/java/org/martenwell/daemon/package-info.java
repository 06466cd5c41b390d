/** The router process, which connects the parts of a router on one event loop. */
package org.martenwell.daemon;
