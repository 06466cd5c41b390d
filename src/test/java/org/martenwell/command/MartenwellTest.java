package org.martenwell.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class MartenwellTest {

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    @ParameterizedTest
    @ValueSource(
            strings = {
                "router", "gateway", "check", "apply", "show", "status", "drain", "demo", "standin",
                "load"
            })
    void testEveryCommandHasHelp(String command) {
        assertThat(run(command, "--help")).isZero();
        assertThat(text(out)).contains("martenwell " + command).contains("--help");
    }

    @Test
    void testHelpListsTheCommands() {
        assertThat(run("--help")).isZero();
        assertThat(text(out)).contains("router").contains("standin");
    }

    @Test
    void testUnknownCommandIsAUsageError() {
        assertThat(run("nothing")).isEqualTo(64);
        assertThat(text(errors)).startsWith("martenwell: usage: ");
    }

    @Test
    void testMissingOptionIsAUsageError() {
        assertThat(run("router")).isEqualTo(64);
    }

    @Test
    void testNumberOutOfRangeIsAUsageError() {
        assertThat(run("demo", "--routers", "0")).isEqualTo(64);
    }

    @Test
    void testMissingFileIsAnInputError() {
        assertThat(run("check", "examples/none.json")).isEqualTo(74);
        assertThat(text(errors)).startsWith("martenwell: input_output: ");
    }

    @Test
    void testCheckPrintsTheTypeOfEachFile() {
        assertThat(run("check", "examples/router-0.json", "examples/food-aid.fleet.json")).isZero();
        assertThat(text(out)).contains("settings of a router").contains("fleet configuration");
    }

    @Test
    void testCheckListsProblemsOfAllFiles() {
        assertThat(run("check", "examples/openai-client/package.json", "pom.xml")).isEqualTo(78);
        assertThat(text(errors)).contains("package.json").contains("pom.xml");
    }

    @Test
    void testUnreachableRouterIsAnInputError() {
        assertThat(run("status", "--operator", "127.0.0.1:1")).isEqualTo(74);
    }

    @ParameterizedTest
    @CsvSource({"gateway,SYSTEM_OUT", "router,SYSTEM_OUT", "show,SYSTEM_ERR", "demo,SYSTEM_ERR"})
    void testServersLogToStandardOutput(String command, String target) {
        assertThat(Martenwell.logTarget(command)).hasToString(target);
    }

    private int run(String... arguments) {
        return new Martenwell(stream(out), stream(errors)).run(arguments);
    }

    private static PrintStream stream(ByteArrayOutputStream bytes) {
        return new PrintStream(bytes, true, StandardCharsets.UTF_8);
    }

    private static String text(ByteArrayOutputStream bytes) {
        return bytes.toString(StandardCharsets.UTF_8);
    }
}
