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
    void testRouterExampleIsValid() {
        RouterSettings settings = SettingsReader.ofRouter().read(Path.of("examples/router-0.json"));
        assertThat(settings.name()).isEqualTo("router-0");
        assertThat(settings.effectiveLimits().maxBodyBytes()).isEqualTo(4194304);
    }

    @Test
    void testUnknownFieldAndInvalidAddressAreListedTogether() throws Exception {
        String text =
                routerExample()
                        .replace("\"name\"", "\"nam\"")
                        .replace("127.0.0.1:7001", "localhost:7001");
        assertThatThrownBy(() -> SettingsReader.ofRouter().read("s", text))
                .hasMessageContaining("nam")
                .hasMessageContaining("localhost:7001 is not an address");
    }

    @Test
    void testDuplicateFieldIsRejected() throws Exception {
        String text = routerExample().replace("\"name\"", "\"name\": \"x\", \"name\"");
        assertThatThrownBy(() -> SettingsReader.ofRouter().read("s", text))
                .isInstanceOf(MartenwellException.class);
    }

    @Property(tries = 500, seed = "1")
    void testCorruptedRouterExampleIsReadOrRejected(@ForAll int position, @ForAll char replacement)
            throws Exception {
        StringBuilder text = new StringBuilder(routerExample());
        text.setCharAt(Math.floorMod(position, text.length()), replacement);
        try {
            SettingsReader.ofRouter().read("s", text.toString());
        } catch (MartenwellException rejection) {
            assertThat(rejection.kind()).isEqualTo(ErrorKind.INVALID_DOCUMENT);
        }
    }

    @Test
    void testGatewayExampleIsParsedWithoutSchema() throws Exception {
        String text = gatewayExample();
        assertThat(GatewaySettingsParser.parse(text))
                .contains(SettingsReader.ofGateway().readWithSchema("s", text));
    }

    @Test
    void testGatewayProblemsAreListedBySchema() throws Exception {
        String text =
                gatewayExample()
                        .replace("\"name\"", "\"nam\"")
                        .replace("127.0.0.1:9", "localhost:9")
                        .replace("\"retryShare\": 0.2", "\"retryShare\": 2");
        assertThatThrownBy(() -> SettingsReader.ofGateway().read("s", text))
                .hasMessageContaining("nam")
                .hasMessageContaining("localhost:9 is not an address")
                .hasMessageContaining("retryShare");
    }

    @Property(tries = 2_000, seed = "1")
    void testParserAcceptsOnlyWhatSchemaAccepts(
            @ForAll int position, @ForAll @CharRange(from = ' ', to = '~') char replacement)
            throws Exception {
        StringBuilder text = new StringBuilder(gatewayExample());
        text.setCharAt(Math.floorMod(position, text.length()), replacement);
        Optional<GatewaySettings> parsed = GatewaySettingsParser.parse(text.toString());
        if (parsed.isPresent()) {
            assertThat(SettingsReader.ofGateway().readWithSchema("s", text.toString()))
                    .isEqualTo(parsed.get());
        }
    }

    private static String gatewayExample() throws Exception {
        return Files.readString(Path.of("examples/gateway.json"));
    }

    private static String routerExample() throws Exception {
        return Files.readString(Path.of("examples/router-0.json"));
    }
}
