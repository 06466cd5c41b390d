import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reading of HTTP/1.1 messages. Each byte of a head is one character, so that none is changed. */
final class Http {

    /** A message as it arrived. */
    static final class Message {

        /** The request line or the status line. */
        final String first;

        /** The header fields; names are compared without regard to case. */
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

        byte[] body = {};

        /** Cleared if the body ended before its length or its last chunk. */
        boolean complete = true;

        Message(String first) {
            this.first = first;
        }

        /** Returns a header field, or an empty string. */
        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        /** Returns the status of a response. */
        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        /** Returns the target of a request. */
        String target() {
            return first.split(" ")[1];
        }
    }

    private Http() {}

    /** Reads the head of a message, or returns {@code null} at the end of the input. */
    static Message head(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Message message = new Message(first);
        for (String each = line(in); each != null && !each.isEmpty(); each = line(in)) {
            int colon = each.indexOf(':');
            message.headers.put(each.substring(0, colon), each.substring(colon + 1).strip());
        }
        return message;
    }

    /** Reads a request whose body has a length, or returns {@code null} at the end of the input. */
    static Message request(InputStream in) throws IOException {
        Message message = head(in);
        if (message != null && !message.header("Content-Length").isEmpty()) {
            message.body = exactly(in, Integer.parseInt(message.header("Content-Length")));
        }
        return message;
    }

    /** Reads a response with a length or in chunks, or returns {@code null} if there is none. */
    static Message response(InputStream in) throws IOException {
        Message message = head(in);
        if (message == null) {
            return null;
        }
        try {
            if (message.header("Transfer-Encoding").contains("chunked")) {
                message.complete = false;
                message.body = chunks(in);
                message.complete = true;
            } else if (!message.header("Content-Length").isEmpty()) {
                message.body = exactly(in, Integer.parseInt(message.header("Content-Length")));
            }
        } catch (EOFException exception) {
            message.complete = false;
        }
        return message;
    }

    private static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = line(in);
            if (size == null) {
                throw new EOFException();
            }
            byte[] chunk = exactly(in, Integer.parseInt(size.strip(), 16));
            line(in);
            if (chunk.length == 0) {
                return body.toByteArray();
            }
            body.writeBytes(chunk);
        }
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException();
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
        return null;
    }
}
