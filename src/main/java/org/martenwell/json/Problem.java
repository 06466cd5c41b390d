package org.martenwell.json;

/**
 * One problem of a document.
 *
 * @param file The name of the document.
 * @param place The JSON pointer of the place, empty for the whole document.
 * @param fault What is wrong there.
 * @param allowed What is allowed there.
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
