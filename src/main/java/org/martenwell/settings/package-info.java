/** The settings of processes, JSON with comments, checked before use. */
package org.martenwell.settings;
