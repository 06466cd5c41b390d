package org.martenwell.route;

import java.util.Locale;
import java.util.Optional;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import org.martenwell.exchange.FieldValue;

/**
 * Prefix of request paths. Characters outside ASCII stand for their percent-encoded UTF-8 (RFC
 * 3987, section 3.1), whose digits have either case.
 */
final class PathPrefix {

    private static final Pattern NOT_ASCII = Pattern.compile("[^\\x00-\\x7f]");

    private static final Pattern ESCAPE = Pattern.compile("%[0-9a-fA-F]{2}");

    private final String prefix;

    /** Whether escapes are compared without regard to case. */
    private final boolean normalized;

    private PathPrefix(String prefix, boolean normalized) {
        this.prefix = prefix;
        this.normalized = normalized;
    }

    /**
     * Creates a prefix.
     *
     * @param text The text of the prefix; one in ASCII is compared as it is.
     * @return The prefix, empty if the text can't be encoded.
     */
    static Optional<PathPrefix> of(String text) {
        if (!NOT_ASCII.matcher(text).find()) {
            return Optional.of(new PathPrefix(text, false));
        }
        return FieldValue.of(text)
                .map(bytes -> NOT_ASCII.matcher(bytes).replaceAll(PathPrefix::escape))
                .map(encoded -> new PathPrefix(normalize(encoded), true));
    }

    /**
     * Returns whether a path begins with this prefix.
     *
     * @param path The path of a request.
     * @return {@code true} if it does.
     */
    boolean begins(String path) {
        return (normalized ? normalize(path) : path).startsWith(prefix);
    }

    /** {@return the length of the encoded prefix, in characters} */
    int length() {
        return prefix.length();
    }

    private static String escape(MatchResult found) {
        return "%%%02X".formatted((int) found.group().charAt(0));
    }

    private static String normalize(String path) {
        return ESCAPE.matcher(path).replaceAll(escape -> escape.group().toUpperCase(Locale.ROOT));
    }
}
