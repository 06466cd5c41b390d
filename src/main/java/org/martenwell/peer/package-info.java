/**
 * Messages between peers, which are the routers or the gateways of a fleet, over TCP: framed,
 * encoded as MessagePack and authenticated by a shared secret.
 */
package org.martenwell.peer;
