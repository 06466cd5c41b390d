package org.martenwell.fairness;

import static org.assertj.core.api.Assertions.assertThat;

import org.apache.logging.log4j.message.MapMessage;
import org.apache.logging.log4j.message.Message;
import org.junit.jupiter.api.Test;
import org.martenwell.observe.LogEvent;
import org.martenwell.share.Disposition;
import org.martenwell.share.DispositionCounts;

/** Guards against counts in the logs that the report cannot read. */
class TokenLogParserTest {

    private static final String LINE =
            "12.5 box-1: {\"time\":\"1970-01-01T00:00:12.400Z\",\"level\":\"INFO\",\"logger\":\"l\","
                    + "\"data\":%s}";

    @Test
    void testCountsOfAGatewayAreRead() {
        DispositionCounts counted = new DispositionCounts();
        counted.requested("o", 30);
        counted.ended("o", 20.4, Disposition.SERVED);
        counted.ended("o", 10, Disposition.OVERLOADED);
        Message message =
                LogEvent.of("organisations")
                        .with("gateway", "g")
                        .with("tokens", counted.take())
                        .message();
        String data = ((MapMessage<?, ?>) message).asString(MapMessage.MapFormat.JSON.name());
        assertThat(TokenLogParser.INSTANCE.parse(String.format(LINE, data)))
                .singleElement()
                .satisfies(
                        entry -> {
                            assertThat(entry.second()).isEqualTo(11);
                            assertThat(entry.gateway()).isEqualTo("g");
                            assertThat(entry.organisation()).isEqualTo("o");
                            assertThat(entry.counts().requested()).isEqualTo(30);
                            assertThat(entry.counts().served()).isEqualTo(20);
                            assertThat(entry.counts().unserved()).isEqualTo(10);
                        });
        assertThat(counted.take()).isEmpty();
    }

    /** A window with a second that no line covers would not count. */
    @Test
    void testLateLinesLeaveNoSecondOut() {
        String data =
                "{\"event\":\"organisations\",\"overMillis\":%d,"
                        + "\"tokens\":{\"o\":{\"requested\":90,\"overloaded\":60}}}";
        assertThat(TokenLogParser.INSTANCE.parse(String.format(LINE, String.format(data, 2_600))))
                .extracting(ServiceHistory.Entry::second)
                .containsExactly(10L, 11L);
        assertThat(TokenLogParser.INSTANCE.parse(String.format(LINE, String.format(data, 3_300))))
                .allSatisfy(
                        entry -> {
                            assertThat(entry.counts().requested()).isEqualTo(30);
                            assertThat(entry.counts().unserved()).isEqualTo(20);
                        })
                .hasSize(3);
        assertThat(TokenLogParser.INSTANCE.parse(String.format(LINE, String.format(data, 700))))
                .extracting(ServiceHistory.Entry::second)
                .containsExactly(11L);
    }

    @Test
    void testOtherAndIncompleteLinesAreSkipped() {
        String line = String.format(LINE, "{\"event\":\"organisations\",\"tokens\":{\"o\":{}}}");
        assertThat(TokenLogParser.INSTANCE.parse(line)).hasSize(1);
        assertThat(TokenLogParser.INSTANCE.parse(line.substring(0, line.length() - 3))).isEmpty();
        assertThat(TokenLogParser.INSTANCE.parse("no event")).isEmpty();
    }
}
