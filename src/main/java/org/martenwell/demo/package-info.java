/** A demonstration: a complete small site on loopback in one process, under uneven load. */
package org.martenwell.demo;
