/** Server-sent events: detection of complete events and of the position to resume a stream from. */
package org.martenwell.stream;
