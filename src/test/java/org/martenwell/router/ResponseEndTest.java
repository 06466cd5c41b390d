package org.martenwell.router;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import io.activej.csp.supplier.ChannelSuppliers;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.martenwell.target.TargetResponse;

/** Guards against a truncated response that is passed on, and kept under a key, as complete. */
class ResponseEndTest {

    @ParameterizedTest
    @CsvSource({
        "true,'',true",
        "true,part,true",
        "false,'',false",
        "false,part,false",
        "false,'{\"a\":[1',false",
        "false,'{\"a\":[1]}',true",
    })
    void testResponseWhoseEndIsNotKnownFails(boolean framed, String body, boolean known) {
        TargetResponse response =
                new TargetResponse(200, List.of(), ChannelSuppliers.empty(), framed);
        Throwable failure =
                catchThrowable(
                        () ->
                                ResponseEnd.requireKnown(
                                        response, body.getBytes(StandardCharsets.UTF_8)));
        assertThat(failure == null).isEqualTo(known);
    }
}
