package org.martenwell.exchange;

import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/** Transfer codings of a message, by RFC 9112, section 6.1. */
final class TransferCodings {

    private static final String CHUNKED = "chunked";

    /** A coding of earlier versions of HTTP that changes nothing. */
    private static final String IDENTITY = "identity";

    private TransferCodings() {}

    /**
     * Returns whether the body of a message can be decoded. Chunks are the only coding that is
     * supported; a body in another one would be passed on as if it were not coded.
     *
     * @param values The values of the {@code Transfer-Encoding} fields.
     * @return {@code true} if the codings are chunks alone, or none.
     */
    static boolean supported(List<String> values) {
        List<String> codings =
                values.stream()
                        .flatMap(value -> Stream.of(value.split(",", -1)))
                        .map(coding -> coding.strip().toLowerCase(Locale.ROOT))
                        .filter(coding -> !coding.isEmpty() && !coding.equals(IDENTITY))
                        .toList();
        return codings.isEmpty() || codings.equals(List.of(CHUNKED));
    }
}
