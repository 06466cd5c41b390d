package org.martenwell.command;

/**
 * A command with the name under which it is called.
 *
 * @param name The name, in lower case.
 * @param command The command.
 */
record NamedCommand(String name, Command command) {}
