/** The command line interface. */
package org.martenwell.command;
