package org.martenwell.observe;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.Stream;
import org.apache.logging.log4j.Level;
import org.junit.jupiter.api.Test;

class LogConfigurationTest {

    private final LogConfiguration configuration =
            new LogConfiguration(LogTarget.SYSTEM_ERR, Level.INFO);

    @Test
    void testLibrariesLogErrorsOnly() {
        assertThat(Stream.of("org.martenwell.gateway.X", "io.activej.X").map(configuration::level))
                .containsExactly(Level.INFO, Level.ERROR);
    }
}
