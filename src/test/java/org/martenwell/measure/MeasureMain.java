package org.martenwell.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.martenwell.json.Json;

/**
 * Measures how costs grow with the size of a fleet, writes the results to docs/measured/slopes.json
 * and generates the table in docs/CAPACITY.md from that file. Run by {@code mvn -B -Pmeasure
 * verify}; the argument {@code tables} skips the measurement.
 */
final class MeasureMain {

    private static final Path RESULTS_FILE = Path.of("docs/measured/slopes.json");
    private static final Path PAGE_FILE = Path.of("docs/CAPACITY.md");
    private static final String BEGIN_MARKER = "<!-- slopes begin -->\n";
    private static final String END_MARKER = "<!-- slopes end -->";

    private MeasureMain() {}

    /** Measures unless the first argument is {@code tables}, and generates the table. */
    public static void main(String[] arguments) throws IOException {
        if (arguments.length == 0 || !arguments[0].equals("tables")) {
            Results measured =
                    new Results(
                            LocalDate.now(ZoneOffset.UTC).toString(),
                            System.getProperty("os.arch")
                                    + ", "
                                    + Runtime.getRuntime().availableProcessors()
                                    + " processors, Java "
                                    + System.getProperty("java.version"),
                            System.getProperty("commit", "unknown"),
                            new SlopeMeasurement().measure());
            Files.createDirectories(RESULTS_FILE.getParent());
            Files.writeString(RESULTS_FILE, Json.print(measured) + "\n");
        }
        Results data = Json.read(Files.readAllBytes(RESULTS_FILE), Results.class);
        String page = Files.readString(PAGE_FILE);
        int begin = page.indexOf(BEGIN_MARKER) + BEGIN_MARKER.length();
        Files.writeString(
                PAGE_FILE,
                page.substring(0, begin) + table(data) + page.substring(page.indexOf(END_MARKER)));
    }

    private static String table(Results data) {
        List<String> rows = new ArrayList<>();
        rows.add(
                "Measured on " + data.date() + ", " + data.machine() + ", commit " + data.commit());
        rows.add("");
        rows.add("| what | size | median | least | most | unit |");
        rows.add("|---|---|---|---|---|---|");
        for (Slope slope : data.slopes()) {
            rows.add(
                    String.format(
                            Locale.ROOT,
                            "| %s | %s | %.1f | %.1f | %.1f | %s |",
                            slope.what(),
                            slope.size(),
                            slope.value(),
                            slope.least(),
                            slope.most(),
                            slope.unit()));
        }
        return String.join("\n", rows) + "\n";
    }

    /** The content of the results file. */
    record Results(String date, String machine, String commit, List<Slope> slopes) {}
}
