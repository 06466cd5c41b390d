/** What operators configure for gateways: routes, services, keys and limits. Plain values. */
package org.martenwell.route;
