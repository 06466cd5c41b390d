package org.martenwell.fairness;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.martenwell.error.MartenwellException;
import org.martenwell.json.Json;
import org.martenwell.share.Disposition;
import org.martenwell.share.DispositionCounts;

/** Parses the log lines in which gateways count the tokens of organisations. */
public enum TokenLogParser {

    /** The singleton. */
    INSTANCE;

    /** A part of all lines that count tokens, for skipping others without parsing them. */
    private static final String EVENT = "\"event\":\"organisations\"";

    /** The start of the JSON object; a log collector may write a prefix before it. */
    private static final String START = "{\"time\"";

    /** The field of the time that a line covers, in milliseconds. */
    private static final String COVERED = "overMillis";

    /** Half of the interval that a line covers unless the gateway is late, in milliseconds. */
    private static final long HALF_INTERVAL_MILLIS = 500;

    private static final long MILLIS_PER_SECOND = 1_000;

    /**
     * Parses a line. The entries belong to the second in which the middle of the covered interval
     * lies. If the gateway was late, its tokens are divided among all seconds since its line
     * before, so that there is no second without them.
     *
     * @param line The line, with or without a prefix.
     * @return The entries; none if the line is of another event or incomplete.
     */
    public List<ServiceHistory.Entry> parse(String line) {
        int start = line.indexOf(START);
        if (start < 0 || !line.contains(EVENT)) {
            return List.of();
        }
        try {
            return entries(Json.read(line.substring(start).getBytes(StandardCharsets.UTF_8)));
        } catch (MartenwellException | DateTimeException incomplete) {
            return List.of();
        }
    }

    private static List<ServiceHistory.Entry> entries(JsonNode root) {
        long endMillis = Instant.parse(root.path("time").asText("")).toEpochMilli();
        JsonNode data = root.path("data");
        long coveredMillis = data.path(COVERED).asLong(MILLIS_PER_SECOND);
        long last = second(endMillis);
        long first = Math.min(last, second(endMillis - coveredMillis) + 1);
        String gateway = data.path("gateway").asText("");
        List<ServiceHistory.Entry> entries = new ArrayList<>();
        for (Map.Entry<String, JsonNode> each : data.path("tokens").properties()) {
            TokenCounts counts = counts(each.getValue()).dividedBy(last - first + 1);
            for (long second = first; second <= last; second++) {
                entries.add(new ServiceHistory.Entry(second, gateway, each.getKey(), counts));
            }
        }
        return entries;
    }

    private static long second(long endMillis) {
        return Math.floorDiv(endMillis - HALF_INTERVAL_MILLIS, MILLIS_PER_SECOND);
    }

    private static TokenCounts counts(JsonNode tokens) {
        Map<Disposition, Long> ended = new EnumMap<>(Disposition.class);
        for (Disposition each : Disposition.values()) {
            ended.put(each, tokens.path(each.label()).asLong());
        }
        return new TokenCounts(tokens.path(DispositionCounts.REQUESTED).asLong(), ended);
    }
}
