/** Base type of the messages that peers, which are routers or gateways, exchange. */
package org.martenwell.message;
