package org.martenwell.exchange;

/**
 * Detects obsolete line folding in the head of a request: a header line that starts with
 * whitespace. Netty's decoder accepts it, but RFC 9112 allows a server to reject it, and a target
 * that parses it differently would allow request smuggling.
 */
final class ObsoleteFoldDetector {

    /** Cleared at the empty line after the headers. */
    private boolean inHead = true;

    private boolean lineEnded;

    /** The length of the current line without its terminator. */
    private int lineBytes;

    /** Set after the first non-empty line; empty lines before it are ignored. */
    private boolean startLineSeen;

    /** Creates a detector at the start of a request. */
    ObsoleteFoldDetector() {}

    /** Restarts for the next request of the connection. */
    void reset() {
        inHead = true;
        lineEnded = false;
        lineBytes = 0;
        startLineSeen = false;
    }

    /**
     * Scans the next bytes of the request. Bytes after the head are ignored.
     *
     * @param bytes The array with the bytes.
     * @param offset The index of the first byte.
     * @param length The number of bytes.
     * @return {@code true} if a folded header line was found.
     */
    boolean containsFold(byte[] bytes, int offset, int length) {
        for (int index = offset; inHead && index < offset + length; index++) {
            byte current = bytes[index];
            boolean blank = current == ' ' || current == '\t';
            if (lineEnded && startLineSeen && blank) {
                return true;
            }
            lineEnded = false;
            if (current == '\n') {
                inHead = !startLineSeen || lineBytes > 0;
                startLineSeen = startLineSeen || lineBytes > 0;
                lineEnded = true;
                lineBytes = 0;
            } else if (current != '\r') {
                lineBytes++;
            }
        }
        return false;
    }
}
