/**
 * HTTP/1.1 over the event loop's TCP sockets. Netty's codecs decode and encode; the sockets, the
 * reuse of connections and the rules for answers that break off are this package's.
 */
package org.martenwell.exchange;
