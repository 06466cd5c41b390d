package org.martenwell.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FingerprintTest {

    private final FingerprintFunction function = new FingerprintFunction("key of the fleet");

    @Test
    void testGatewaysWithTheSameKeyComputeEqualFingerprints() {
        FingerprintFunction other = new FingerprintFunction("key of the fleet");
        long scope = other.scope("POST", "h", "/a/x?y", "clinic");
        assertThat(other.of(scope, bytes("body")))
                .isEqualTo(fingerprint("POST", "h", "/a/x?y", "clinic", "body"));
    }

    @ParameterizedTest
    @CsvSource({
        "GET,h,/a/x,clinic,body",
        "POST,g,/a/x,clinic,body",
        "POST,h,/a/y,clinic,body",
        "POST,h,/a/x,depot,body",
        "POST,h,/a/x,clinic,bodies"
    })
    void testEachPartChangesTheFingerprint(
            String method, String host, String target, String organisation, String body) {
        assertThat(fingerprint(method, host, target, organisation, body))
                .isNotEqualTo(fingerprint("POST", "h", "/a/x", "clinic", "body"));
    }

    @Test
    void testFingerprintDependsOnTheKey() {
        FingerprintFunction other = new FingerprintFunction("another key");
        assertThat(other.scope("GET", "h", "/", ""))
                .isNotEqualTo(function.scope("GET", "h", "/", ""));
    }

    @Test
    void testParseReversesToString() {
        Fingerprint fingerprint = new Fingerprint(-2, 0x1f);
        assertThat(fingerprint).hasToString("fffffffffffffffe000000000000001f");
        assertThat(Fingerprint.parse(fingerprint.toString())).contains(fingerprint);
    }

    @ParameterizedTest
    @CsvSource({
        "''",
        "1f",
        "fffffffffffffffe00000000000000zz",
        "fffffffffffffffe000000000000001f0"
    })
    void testParseRejectsMalformedText(String text) {
        assertThat(Fingerprint.parse(text)).isEmpty();
    }

    private Fingerprint fingerprint(
            String method, String host, String target, String organisation, String body) {
        return function.of(function.scope(method, host, target, organisation), bytes(body));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
