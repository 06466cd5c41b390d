/**
 * HTTP/1.1 on the event loop's TCP sockets: the server for callers and the connections to targets.
 * Netty's codecs decode and encode messages; connection reuse and the handling of truncated
 * responses are implemented here.
 */
package org.martenwell.exchange;
