package org.martenwell.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The names that one direction of a connection has carried, numbered in the order they came. */
final class NameTable {

    /** The most names that are numbered; others are written out each time. */
    private static final int MAX_NAMES = 16_384;

    /** The longest name that is numbered, in characters. */
    private static final int MAX_NAME_LENGTH = 128;

    /** The names by number. */
    private final List<String> names = new ArrayList<>();

    /** The numbers by name. */
    private final Map<String, Integer> numbers = new HashMap<>();

    /** Creates an empty table. */
    NameTable() {}

    /**
     * Numbers a name, if it may be.
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
     * Finds the number of a name.
     *
     * @param name The name.
     * @return The number, negative if it has none.
     */
    int number(String name) {
        return numbers.getOrDefault(name, -1);
    }

    /**
     * Finds the name with a number.
     *
     * @param number The number.
     * @return The name.
     */
    Optional<String> name(int number) {
        boolean known = number >= 0 && number < names.size();
        return known ? Optional.of(names.get(number)) : Optional.empty();
    }
}
