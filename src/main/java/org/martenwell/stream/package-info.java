/** Streams of server-sent events: whole events, their numbers, and going on after a break. */
package org.martenwell.stream;
