package org.martenwell.exchange;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Encoding of text in the values of HTTP fields. The codecs read and write a value as one character
 * per byte. RFC 9110, section 5.5, leaves the meaning of bytes above 7F to the parties; here they
 * are UTF-8.
 */
public final class FieldValue {

    /** The character that decoders substitute for text that they can't read. */
    private static final int REPLACEMENT_CHARACTER = 0xFFFD;

    private static final int DELETE = 0x7F;

    private FieldValue() {}

    /**
     * Encodes a text. Texts in ASCII are their own values, and no two texts have the same value.
     *
     * @param text The text.
     * @return The value with one character per byte. Empty if no value represents the text: an
     *     empty one, one that begins or ends with a blank, which recipients drop, or one that
     *     contains a control character, an unpaired surrogate or U+FFFD.
     */
    public static Optional<String> of(String text) {
        return isRepresentable(text)
                ? Optional.of(
                        new String(
                                text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1))
                : Optional.empty();
    }

    private static boolean isRepresentable(String text) {
        if (text.isEmpty() || isBlank(text.charAt(0)) || isBlank(text.charAt(text.length() - 1))) {
            return false;
        }
        int codePoint;
        for (int index = 0; index < text.length(); index += Character.charCount(codePoint)) {
            codePoint = text.codePointAt(index);
            if (!isRepresentable(codePoint)) {
                return false;
            }
        }
        return true;
    }

    private static boolean isRepresentable(int codePoint) {
        boolean control = (codePoint < ' ' && codePoint != '\t') || codePoint == DELETE;
        boolean unpaired = Character.getType(codePoint) == Character.SURROGATE;
        return !control && !unpaired && codePoint != REPLACEMENT_CHARACTER;
    }

    private static boolean isBlank(char character) {
        return character == ' ' || character == '\t';
    }
}
