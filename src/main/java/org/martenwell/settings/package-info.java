/** The settings of processes, read from JSON with comments and validated before use. */
package org.martenwell.settings;
