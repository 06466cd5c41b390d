package org.martenwell.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.CharRange;
import org.junit.jupiter.api.Test;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

class SettingsReaderTest {

    @Test
    void testExampleHasNoProblems() {
        RouterSettings settings = SettingsReader.ofRouter().read(Path.of("examples/router-0.json"));
        assertThat(settings.name()).isEqualTo("router-0");
        assertThat(settings.effectiveLimits().maxBodyBytes()).isEqualTo(4194304);
    }

    @Test
    void testUnknownFieldAndWrongAddressAreListedTogether() throws Exception {
        String text =
                example()
                        .replace("\"name\"", "\"nam\"")
                        .replace("127.0.0.1:7001", "localhost:7001");
        assertThatThrownBy(() -> SettingsReader.ofRouter().read("s", text))
                .hasMessageContaining("nam")
                .hasMessageContaining("localhost:7001 is no address");
    }

    @Test
    void testFieldGivenTwiceIsRefused() throws Exception {
        String text = example().replace("\"name\"", "\"name\": \"x\", \"name\"");
        assertThatThrownBy(() -> SettingsReader.ofRouter().read("s", text))
                .isInstanceOf(MartenwellException.class);
    }

    @Property(tries = 500, seed = "1")
    void testDamagedExamplesAreReadOrRefused(@ForAll int place, @ForAll char other)
            throws Exception {
        StringBuilder text = new StringBuilder(example());
        text.setCharAt(Math.floorMod(place, text.length()), other);
        try {
            SettingsReader.ofRouter().read("s", text.toString());
        } catch (MartenwellException refused) {
            assertThat(refused.kind()).isEqualTo(ErrorKind.INVALID_DOCUMENT);
        }
    }

    @Test
    void testExampleOfAGatewayIsReadWithoutItsSchema() throws Exception {
        String text = gatewayExample();
        assertThat(GatewaySettingsParser.parse(text))
                .contains(SettingsReader.ofGateway().readChecked("s", text));
    }

    @Test
    void testProblemsOfAGatewayAreListedByItsSchema() throws Exception {
        String text =
                gatewayExample()
                        .replace("\"name\"", "\"nam\"")
                        .replace("127.0.0.1:9", "localhost:9")
                        .replace("\"retryShare\": 0.2", "\"retryShare\": 2");
        assertThatThrownBy(() -> SettingsReader.ofGateway().read("s", text))
                .hasMessageContaining("nam")
                .hasMessageContaining("localhost:9 is no address")
                .hasMessageContaining("retryShare");
    }

    @Property(tries = 2_000, seed = "1")
    void testWhatIsReadWithoutTheSchemaIsWhatTheSchemaReads(
            @ForAll int place, @ForAll @CharRange(from = ' ', to = '~') char other)
            throws Exception {
        StringBuilder text = new StringBuilder(gatewayExample());
        text.setCharAt(Math.floorMod(place, text.length()), other);
        Optional<GatewaySettings> read = GatewaySettingsParser.parse(text.toString());
        if (read.isPresent()) {
            assertThat(SettingsReader.ofGateway().readChecked("s", text.toString()))
                    .isEqualTo(read.get());
        }
    }

    private static String gatewayExample() throws Exception {
        return Files.readString(Path.of("examples/gateway.json"));
    }

    private static String example() throws Exception {
        return Files.readString(Path.of("examples/router-0.json"));
    }
}
