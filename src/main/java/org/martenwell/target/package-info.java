/** Targets, behind an interface that hides their wire form. */
package org.martenwell.target;
