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
 * Measures slopes, writes them to docs/measured/slopes.json and makes the tables of
 * docs/CAPACITY.md from that file alone. Run by {@code mvn -B -Pmeasure verify}; with {@code
 * tables} as its argument it only makes the tables again.
 */
final class MeasureMain {

    private static final Path DATA = Path.of("docs/measured/slopes.json");
    private static final Path PAGE = Path.of("docs/CAPACITY.md");
    private static final String BEGIN = "<!-- slopes begin -->\n";
    private static final String END = "<!-- slopes end -->";

    private MeasureMain() {}

    /** Measures, or only makes the tables. */
    public static void main(String[] arguments) throws IOException {
        if (arguments.length == 0 || !arguments[0].equals("tables")) {
            Measured measured =
                    new Measured(
                            LocalDate.now(ZoneOffset.UTC).toString(),
                            System.getProperty("os.arch")
                                    + ", "
                                    + Runtime.getRuntime().availableProcessors()
                                    + " processors, Java "
                                    + System.getProperty("java.version"),
                            System.getProperty("commit", "unknown"),
                            new SlopeMeasurement().measure());
            Files.createDirectories(DATA.getParent());
            Files.writeString(DATA, Json.print(measured) + "\n");
        }
        Measured data = Json.read(Files.readAllBytes(DATA), Measured.class);
        String page = Files.readString(PAGE);
        int begin = page.indexOf(BEGIN) + BEGIN.length();
        Files.writeString(
                PAGE, page.substring(0, begin) + table(data) + page.substring(page.indexOf(END)));
    }

    private static String table(Measured data) {
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

    /** The data file. */
    record Measured(String date, String machine, String commit, List<Slope> slopes) {}
}
