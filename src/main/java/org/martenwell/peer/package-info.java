/**
 * Connections between routers: framed MessagePack messages over TCP, authenticated by a shared key.
 */
package org.martenwell.peer;
