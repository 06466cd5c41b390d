/** The fleet's configuration: its parts, how it is checked as a whole, and its compiled form. */
package org.martenwell.configuration;
