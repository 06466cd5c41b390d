/**
 * The router: the shell of loops, timers and sockets around the decisions of the other packages.
 */
package org.martenwell.router;
