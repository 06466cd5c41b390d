package org.martenwell.command;

import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** The commands of the executable. */
final class CommandTable {

    /** The commands, in the order of the help. */
    static final List<NamedCommand> COMMANDS =
            List.of(
                    new NamedCommand("router", RouterCommand.INSTANCE),
                    new NamedCommand("gateway", GatewayCommand.INSTANCE),
                    new NamedCommand("check", CheckCommand.INSTANCE),
                    new NamedCommand("apply", ApplyCommand.INSTANCE),
                    new NamedCommand("show", ShowCommand.INSTANCE),
                    new NamedCommand("status", StatusCommand.INSTANCE),
                    new NamedCommand("drain", DrainCommand.INSTANCE),
                    new NamedCommand("demo", DemoCommand.INSTANCE),
                    new NamedCommand("standin", StandinCommand.INSTANCE),
                    new NamedCommand("load", LoadCommand.INSTANCE));

    /** Not instantiated. */
    private CommandTable() {}

    /**
     * Finds a command.
     *
     * @param name The name.
     * @return The command.
     */
    static Optional<NamedCommand> find(String name) {
        String lower = name.toLowerCase(Locale.ROOT);
        return COMMANDS.stream().filter(each -> each.name().equals(lower)).findFirst();
    }
}
