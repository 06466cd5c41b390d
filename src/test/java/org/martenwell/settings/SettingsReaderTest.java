package org.martenwell.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Files;
import java.nio.file.Path;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
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

    private static String example() throws Exception {
        return Files.readString(Path.of("examples/router-0.json"));
    }
}
