/**
 * Fair shares of the fleet's capacity. Each gateway counts what organisations ask and get, hears
 * the same of its peers and fills the capacity up from the smallest demand. Plain objects.
 */
package org.martenwell.share;
