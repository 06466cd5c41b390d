/** The fleet's configuration: its data types, its validation and its indexed, compiled form. */
package org.martenwell.configuration;
