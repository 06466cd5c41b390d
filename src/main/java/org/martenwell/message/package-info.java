/** Base type of the messages that routers exchange. */
package org.martenwell.message;
