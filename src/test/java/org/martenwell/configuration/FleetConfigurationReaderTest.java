package org.martenwell.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Files;
import java.nio.file.Path;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

class FleetConfigurationReaderTest {

    @ParameterizedTest
    @ValueSource(strings = {"examples/cold-chain.fleet.json", "examples/food-aid.fleet.json"})
    void testExamplesHaveNoProblems(String file) throws Exception {
        FleetConfiguration configuration =
                FleetConfigurationReader.INSTANCE.read(file, Files.readString(Path.of(file)));
        assertThat(configuration.organisations()).hasSize(10);
    }

    @Test
    void testAllSchemaProblemsAreListedTogether() throws Exception {
        String text =
                example()
                        .replace("\"weight\": 1,", "\"weight\": -1,")
                        .replace("\"slots\": 16", "\"slots\": 0, \"colour\": 1");
        assertThatThrownBy(() -> FleetConfigurationReader.INSTANCE.read("f", text))
                .hasMessageContaining("/contracts/0/weight")
                .hasMessageContaining("/targets/0")
                .hasMessageContaining("colour");
    }

    @Test
    void testAllInvalidReferencesAreListedTogether() throws Exception {
        String text =
                example()
                        .replace("\"contract\": \"large\"", "\"contract\": \"none\"")
                        .replace("\"policy\": \"everyone\"", "\"policy\": \"nobody\"")
                        .replace("127.0.0.1:7101", "engine.example:7101");
        assertThatThrownBy(() -> FleetConfigurationReader.INSTANCE.read("f", text))
                .hasMessageContaining("unknown name none")
                .hasMessageContaining("unknown name nobody")
                .hasMessageContaining("an IP address and a port");
    }

    @Test
    void testPolicyThatDoesNotCompileIsReported() throws Exception {
        String text = example().replace("allow(", "alow(");
        assertThatThrownBy(() -> FleetConfigurationReader.INSTANCE.read("f", text))
                .hasMessageContaining("/policies/0/program");
    }

    @Property(tries = 500, seed = "1")
    void testArbitraryTextIsReadOrRejected(@ForAll String text) {
        assertReadOrRejected(text);
    }

    @Property(tries = 500, seed = "2")
    void testCorruptedExampleIsReadOrRejected(@ForAll int position, @ForAll char replacement)
            throws Exception {
        StringBuilder text = new StringBuilder(example());
        text.setCharAt(Math.floorMod(position, text.length()), replacement);
        assertReadOrRejected(text.toString());
    }

    private static void assertReadOrRejected(String text) {
        try {
            FleetConfigurationReader.INSTANCE.read("f", text);
        } catch (MartenwellException rejection) {
            assertThat(rejection.kind()).isEqualTo(ErrorKind.INVALID_DOCUMENT);
        }
    }

    private static String example() throws Exception {
        return Files.readString(Path.of("examples/cold-chain.fleet.json"));
    }
}
