/**
 * Messages between routers over TCP: framed, encoded as MessagePack and authenticated by a shared
 * secret.
 */
package org.martenwell.peer;
