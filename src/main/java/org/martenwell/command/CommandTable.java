package org.martenwell.command;

import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * The commands of the executable. A command's class is loaded only when the command is looked up,
 * which shortens the start.
 */
final class CommandTable {

    /** The names of the commands, in the order of the help. */
    private static final List<String> NAMES =
            List.of(
                    "router",
                    "gateway",
                    "check",
                    "apply",
                    "show",
                    "status",
                    "drain",
                    "demo",
                    "standin",
                    "load",
                    "fairness");

    private CommandTable() {}

    /** {@return all commands, in the order of the help} */
    static List<NamedCommand> all() {
        return NAMES.stream().map(name -> new NamedCommand(name, command(name))).toList();
    }

    /**
     * Finds a command.
     *
     * @param name The name, in any case.
     * @return The command, or empty if none has this name.
     */
    static Optional<NamedCommand> find(String name) {
        String lower = name.toLowerCase(Locale.ROOT);
        return NAMES.contains(lower)
                ? Optional.of(new NamedCommand(lower, command(lower)))
                : Optional.empty();
    }

    private static Command command(String name) {
        return switch (name) {
            case "router" -> RouterCommand.INSTANCE;
            case "gateway" -> GatewayCommand.INSTANCE;
            case "check" -> CheckCommand.INSTANCE;
            case "apply" -> ApplyCommand.INSTANCE;
            case "show" -> ShowCommand.INSTANCE;
            case "status" -> StatusCommand.INSTANCE;
            case "drain" -> DrainCommand.INSTANCE;
            case "demo" -> DemoCommand.INSTANCE;
            case "standin" -> StandinCommand.INSTANCE;
            case "load" -> LoadCommand.INSTANCE;
            case "fairness" -> FairnessCommand.INSTANCE;
            default -> throw new IllegalArgumentException(name);
        };
    }
}
