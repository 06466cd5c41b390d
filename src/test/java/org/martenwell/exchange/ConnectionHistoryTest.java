package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against connections that forget a request whose second response may still arrive. */
class ConnectionHistoryTest {

    private final ConnectionHistory history = new ConnectionHistory();

    @Test
    void testAllRequestsOfAConnectionAreRemembered() {
        for (int index = 0; index < ConnectionHistory.MAX_REQUESTS; index++) {
            assertThat(history.full()).isFalse();
            assertThat(history.contains("request-" + index)).isFalse();
            history.add(HttpMethod.GET, Optional.of("request-" + index));
        }
        assertThat(history.full()).isTrue();
        assertThat(history.contains("request-0")).isTrue();
        assertThat(history.contains("request-1023")).isTrue();
    }

    @Test
    void testRequestsWithoutIdAreCounted() {
        history.add(HttpMethod.GET, Optional.empty());
        assertThat(history.requests()).isEqualTo(1);
        assertThat(history.contains("")).isFalse();
    }
}
