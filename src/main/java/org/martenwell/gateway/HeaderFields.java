package org.martenwell.gateway;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.martenwell.peer.HeaderField;

/** Converts headers to and from their form in messages. */
final class HeaderFields {

    private HeaderFields() {}

    /**
     * Converts headers to fields.
     *
     * @param headers The headers.
     * @return The fields in order, with repeats.
     */
    static List<HeaderField> of(HttpHeaders headers) {
        List<HeaderField> fields = new ArrayList<>(headers.size());
        for (Iterator<Map.Entry<String, String>> each = headers.iteratorAsString();
                each.hasNext(); ) {
            Map.Entry<String, String> next = each.next();
            fields.add(new HeaderField(next.getKey(), next.getValue()));
        }
        return fields;
    }

    /**
     * Converts fields to headers. They are not validated again, since a gateway has decoded them.
     *
     * @param fields The fields.
     * @return The headers.
     */
    static HttpHeaders headers(List<HeaderField> fields) {
        HttpHeaders headers =
                DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
        fields.forEach(each -> headers.add(each.name(), each.value()));
        return headers;
    }
}
