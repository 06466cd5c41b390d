/** The command line. */
package org.martenwell.command;
