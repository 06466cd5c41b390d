package org.martenwell.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class MartenwellTest {

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    @ParameterizedTest
    @ValueSource(
            strings = {
                "router",
                "gateway",
                "check",
                "apply",
                "show",
                "status",
                "drain",
                "demo",
                "standin",
                "load",
                "fairness"
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
    void testFairnessReadsLogsOfSeveralGateways(@TempDir Path folder) throws IOException {
        Path one = folder.resolve("one.log");
        Path two = folder.resolve("two.log");
        for (int second = 0; second < 7; second++) {
            append(one, second, "\"low\":{\"requested\":9,\"served\":1,\"refused\":8}");
            append(two, second, "\"high\":{\"requested\":4,\"served\":4}");
        }
        assertThat(run("fairness", one.toString(), two.toString())).isZero();
        assertThat(text(out))
                .startsWith("0.25 low from 1970-01-01T00:00:00Z")
                .contains("best served high 24");
    }

    @Test
    void testFairnessOfMissingLogIsAnInputError() {
        assertThat(run("fairness", "none.log")).isEqualTo(74);
        assertThat(run("fairness")).isEqualTo(64);
    }

    /** Two organisations would otherwise be listed by one name, or none that the operator knows. */
    @Test
    void testFairnessNamesOrganisationsAsTheyAreLogged(@TempDir Path folder) throws IOException {
        Path log = folder.resolve("log");
        for (int second = 1; second <= 7; second++) {
            append(
                    log,
                    second,
                    "\"\u0644\u0627\u06c1\u0648\u0631\":{\"requested\":90,\"served\":1,\"refused\":89},"
                            + "\"M\u00fcnchen\":{\"requested\":100,\"served\":100}");
        }
        Files.write(log, new byte[] {(byte) 0xff, '\n'}, StandardOpenOption.APPEND);
        assertThat(run("fairness", log.toString())).isZero();
        assertThat(text(out)).contains("\u0644\u0627\u06c1\u0648\u0631").doesNotContain("\u00d9");
    }

    @Test
    void testOutputIsInUtf8WhateverTheLocale() {
        PrintStream ascii = new PrintStream(out, true, StandardCharsets.US_ASCII);
        Martenwell.utf8(ascii).print("\u0644 M\u00fcnchen");
        assertThat(text(out)).isEqualTo("\u0644 M\u00fcnchen");
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

    private static void append(Path log, int second, String tokens) throws IOException {
        String line =
                "{\"time\":\"1970-01-01T00:00:0"
                        + second
                        + ".900Z\",\"data\":{\"event\":\"organisations\",\"gateway\":\"g\",\"tokens\":{"
                        + tokens
                        + "}}}\n";
        Files.writeString(log, line, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
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
