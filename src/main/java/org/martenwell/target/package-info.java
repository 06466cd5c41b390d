/** Communication with targets, independent of the transport. */
package org.martenwell.target;
