package org.martenwell.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.json.DocumentProblems;
import org.martenwell.json.JsonDocuments;
import org.martenwell.json.Problem;
import org.martenwell.json.SchemaChecker;
import org.martenwell.service.IpAddress;

/**
 * Reads and validates the settings of one type of process.
 *
 * @param <T> The type of the settings.
 */
public final class SettingsReader<T> {

    /** The resource with the JSON schema. */
    private final String schema;

    private final Class<T> type;

    /**
     * Parses valid settings without the schema; returns empty for documents that the schema has to
     * check.
     */
    private final Function<String, Optional<T>> fastParser;

    private SettingsReader(String schema, Class<T> type, Function<String, Optional<T>> fastParser) {
        this.schema = schema;
        this.type = type;
        this.fastParser = fastParser;
    }

    /**
     * Creates a reader that validates with a schema.
     *
     * @param resource The resource with the JSON schema.
     * @param type The type of the settings.
     * @param <T> The type of the settings.
     * @return The reader.
     */
    public static <T> SettingsReader<T> of(String resource, Class<T> type) {
        return new SettingsReader<>(resource, type, text -> Optional.empty());
    }

    /** {@return a reader of routers' settings} */
    public static SettingsReader<RouterSettings> ofRouter() {
        return of("/schema/router.schema.json", RouterSettings.class);
    }

    /**
     * {@return a reader of gateways' settings, which loads the schema only for invalid documents}
     */
    public static SettingsReader<GatewaySettings> ofGateway() {
        return new SettingsReader<>(
                "/schema/gateway.schema.json", GatewaySettings.class, GatewaySettingsParser::parse);
    }

    /**
     * Reads a settings file. If the settings are not valid, throws an exception that lists all
     * problems.
     *
     * @param path The file.
     * @return The settings.
     */
    public T read(Path path) {
        return read(path.toString(), readText(path));
    }

    /**
     * Reads settings. If they are not valid, throws an exception that lists all problems.
     *
     * @param file The name of the document, for messages.
     * @param text The document, JSON with comments.
     * @return The settings.
     */
    public T read(String file, String text) {
        return fastParser.apply(text).orElseGet(() -> readWithSchema(file, text));
    }

    /**
     * Reads settings and validates them with the schema. If they are not valid, throws an exception
     * that lists all problems.
     *
     * @param file The name of the document, for messages.
     * @param text The document, JSON with comments.
     * @return The settings.
     */
    T readWithSchema(String file, String text) {
        JsonNode root = JsonDocuments.parse(file, text);
        List<Problem> problems = new ArrayList<>(SchemaChecker.of(schema).check(file, root));
        checkAddresses(file, root, problems);
        DocumentProblems.throwIfAny(problems);
        return JsonDocuments.map(root, type);
    }

    /**
     * Reads a file in UTF-8. Throws an exception of kind {@link ErrorKind#INPUT_OUTPUT} if that
     * fails.
     *
     * @param path The file.
     * @return Its text.
     */
    public static String readText(Path path) {
        try {
            return Files.readString(path);
        } catch (IOException exception) {
            throw MartenwellException.of(
                    ErrorKind.INPUT_OUTPUT, path + " is not readable.", exception);
        }
    }

    /**
     * Checks the top-level string fields whose names end in {@code Address} or {@code address}.
     *
     * @param file The name of the document, for messages.
     * @param root The document.
     * @param problems Receives the problems.
     */
    private static void checkAddresses(String file, JsonNode root, List<Problem> problems) {
        Iterator<Map.Entry<String, JsonNode>> fields = root.properties().iterator();
        while (fields.hasNext()) {
            Map.Entry<String, JsonNode> field = fields.next();
            boolean isAddress = field.getKey().endsWith("ddress") && field.getValue().isTextual();
            if (isAddress && IpAddress.parse(field.getValue().asText()).isEmpty()) {
                problems.add(
                        new Problem(
                                file,
                                "/" + field.getKey(),
                                field.getValue().asText() + " is not an address",
                                "an IP address and a port, such as 127.0.0.1:8080"));
            }
        }
    }
}
