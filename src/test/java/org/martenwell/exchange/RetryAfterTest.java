package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryAfterTest {

    /** Thu, 01 Jan 1970 00:00:10 GMT. */
    private static final long NOW_MILLIS = 10_000;

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "3|3000",
                " 3 |3000",
                "0.25|250",
                "0|0",
                "-3|0",
                "+3|0",
                "1e9|0",
                "1000000000|1000000000000",
                "9999999999999999|0",
                "soon|0",
                "3, 4|0",
                "NaN|0",
                "Thu, 01 Jan 1970 00:00:13 GMT|3000",
                "Thu, 01 Jan 1970 00:00:07 GMT|0",
                "Thu, 99 Jan 1970 00:00:07 GMT|0",
            })
    void testDelayIsSecondsOrADate(String text, long millis) {
        assertThat(RetryAfter.millis(headers(text), NOW_MILLIS)).isEqualTo(millis);
    }

    /** Guards against delays distorted by clock differences between targets and gateways. */
    @Test
    void testDateCountsFromTheResponsesDateHeader() {
        HttpHeaders headers = headers("Thu, 01 Jan 1970 01:00:04 GMT");
        headers.set("Date", "Thu, 01 Jan 1970 01:00:00 GMT");
        assertThat(RetryAfter.millis(headers, NOW_MILLIS)).isEqualTo(4_000);
    }

    @Test
    void testLongestOfSeveralDelaysApplies() {
        HttpHeaders headers = headers("2");
        headers.add("Retry-After", "soon");
        headers.add("Retry-After", "5");
        headers.add("Retry-After", "1");
        assertThat(RetryAfter.millis(headers, NOW_MILLIS)).isEqualTo(5_000);
    }

    @Test
    void testMissingHeaderIsNoDelay() {
        HttpHeaders empty = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        assertThat(RetryAfter.millis(empty, NOW_MILLIS)).isZero();
    }

    private static HttpHeaders headers(String retryAfter) {
        return DefaultHttpHeadersFactory.headersFactory()
                .newHeaders()
                .add("Retry-After", retryAfter);
    }
}
