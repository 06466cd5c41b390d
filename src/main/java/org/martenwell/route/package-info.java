/** Configuration of gateways: immutable values for routes, services, API keys and limits. */
package org.martenwell.route;
