package org.martenwell.command;

/**
 * A command and its name.
 *
 * @param name The name.
 * @param command The command.
 */
record NamedCommand(String name, Command command) {}
