package org.martenwell.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Names that occurred on one direction of a connection, numbered in order of their first
 * occurrence. The sender and the receiver build the same table.
 */
final class NameTable {

    /**
     * The maximum number of numbered names, which limits memory; further names are always spelled
     * out.
     */
    private static final int MAX_NAMES = 16_384;

    /** The maximum length of a numbered name in characters. */
    private static final int MAX_NAME_LENGTH = 128;

    /** The names by number. */
    private final List<String> names = new ArrayList<>();

    /** The numbers by name. */
    private final Map<String, Integer> numbers = new HashMap<>();

    /** Creates an empty table. */
    NameTable() {}

    /**
     * Assigns the next number to a name, unless it has one, is too long or the table is full.
     *
     * @param name The name.
     */
    void add(String name) {
        boolean fits = names.size() < MAX_NAMES && name.length() <= MAX_NAME_LENGTH;
        if (fits && !numbers.containsKey(name)) {
            numbers.put(name, names.size());
            names.add(name);
        }
    }

    /**
     * Returns the number of a name.
     *
     * @param name The name.
     * @return The number, or -1 if the name has none.
     */
    int number(String name) {
        return numbers.getOrDefault(name, -1);
    }

    /**
     * Returns the name with a number.
     *
     * @param number The number.
     * @return The name, or empty if no name has the number.
     */
    Optional<String> name(int number) {
        boolean known = number >= 0 && number < names.size();
        return known ? Optional.of(names.get(number)) : Optional.empty();
    }
}
