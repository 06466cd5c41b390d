package org.martenwell.json;

/**
 * A validation error in a document.
 *
 * @param file The name of the document.
 * @param place The JSON pointer to the invalid value, empty for the root, or another location such
 *     as a line number.
 * @param fault The description of the error.
 * @param allowed The description of the values allowed there.
 */
public record Problem(String file, String place, String fault, String allowed) {

    @Override
    public String toString() {
        return file
                + ": "
                + (place.isEmpty() ? "/" : place)
                + ": "
                + fault
                + "; allowed: "
                + allowed;
    }
}
