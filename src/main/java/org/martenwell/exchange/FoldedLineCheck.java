package org.martenwell.exchange;

/**
 * Finds header lines that go on in the next line. RFC 9112 lets a server refuse them, and the codec
 * takes them, so that a target could read another request than this program did.
 */
final class FoldedLineCheck {

    /** Whether the head is still arriving. */
    private boolean inHead = true;

    /** Whether the last byte ended a line. */
    private boolean lineEnded;

    /** How many bytes the present line has, its end not counted. */
    private int lineBytes;

    /** Whether any line was seen. */
    private boolean lineSeen;

    /** Creates a check for a new head. */
    FoldedLineCheck() {}

    /** Starts over for the next head. */
    void reset() {
        inHead = true;
        lineEnded = false;
        lineBytes = 0;
        lineSeen = false;
    }

    /**
     * Looks at bytes.
     *
     * @param bytes The bytes.
     * @param offset Where they begin.
     * @param length How many they are.
     * @return {@code true} if a header line is folded.
     */
    boolean folded(byte[] bytes, int offset, int length) {
        for (int index = offset; inHead && index < offset + length; index++) {
            byte each = bytes[index];
            boolean blank = each == ' ' || each == '\t';
            if (lineEnded && lineSeen && blank) {
                return true;
            }
            lineEnded = false;
            if (each == '\n') {
                inHead = !lineSeen || lineBytes > 0;
                lineSeen = lineSeen || lineBytes > 0;
                lineEnded = true;
                lineBytes = 0;
            } else if (each != '\r') {
                lineBytes++;
            }
        }
        return false;
    }
}
