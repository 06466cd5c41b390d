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
 * Reads settings of one kind of process and checks them whole.
 *
 * @param <T> The type of the settings.
 */
public final class SettingsReader<T> {

    /** The name of the schema among this program's resources. */
    private final String schema;

    /** The type of the settings. */
    private final Class<T> type;

    /**
     * Reads plainly valid settings without the schema. Empty for all others, whose problems the
     * schema then lists.
     */
    private final Function<String, Optional<T>> plain;

    /**
     * Creates a reader.
     *
     * @param schema The name of the schema among this program's resources.
     * @param type The type of the settings.
     * @param plain Reads plainly valid settings without the schema, empty for all others.
     */
    private SettingsReader(String schema, Class<T> type, Function<String, Optional<T>> plain) {
        this.schema = schema;
        this.type = type;
        this.plain = plain;
    }

    /**
     * Creates a reader.
     *
     * @param resource The name of the schema among this program's resources.
     * @param type The type of the settings.
     * @param <T> The type of the settings.
     * @return The reader.
     */
    public static <T> SettingsReader<T> of(String resource, Class<T> type) {
        return new SettingsReader<>(resource, type, text -> Optional.empty());
    }

    /**
     * Creates a reader of a router's settings.
     *
     * @return The reader.
     */
    public static SettingsReader<RouterSettings> ofRouter() {
        return of("/schema/router.schema.json", RouterSettings.class);
    }

    /**
     * Creates a reader of a gateway's settings.
     *
     * @return The reader.
     */
    public static SettingsReader<GatewaySettings> ofGateway() {
        return new SettingsReader<>(
                "/schema/gateway.schema.json", GatewaySettings.class, GatewaySettingsParser::parse);
    }

    /**
     * Reads settings, or throws an exception that lists all their problems.
     *
     * @param path The file.
     * @return The settings.
     */
    public T read(Path path) {
        return read(path.toString(), readText(path));
    }

    /**
     * Reads settings, or throws an exception that lists all their problems.
     *
     * @param file The name of the document.
     * @param text The document, JSON with comments.
     * @return The settings.
     */
    public T read(String file, String text) {
        return plain.apply(text).orElseGet(() -> readChecked(file, text));
    }

    /**
     * Reads settings by their schema, or throws an exception that lists all their problems.
     *
     * @param file The name of the document.
     * @param text The document, JSON with comments.
     * @return The settings.
     */
    T readChecked(String file, String text) {
        JsonNode root = JsonDocuments.parse(file, text);
        List<Problem> problems = new ArrayList<>(SchemaChecker.of(schema).check(file, root));
        checkAddresses(file, root, problems);
        DocumentProblems.throwIfAny(problems);
        return JsonDocuments.map(root, type);
    }

    /**
     * Reads a file.
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
     * Checks every field whose name ends in {@code ddress}.
     *
     * @param file The name of the document.
     * @param root The document.
     * @param problems Receives the problems.
     */
    private static void checkAddresses(String file, JsonNode root, List<Problem> problems) {
        Iterator<Map.Entry<String, JsonNode>> fields = root.properties().iterator();
        while (fields.hasNext()) {
            Map.Entry<String, JsonNode> field = fields.next();
            boolean address = field.getKey().endsWith("ddress") && field.getValue().isTextual();
            if (address && IpAddress.parse(field.getValue().asText()).isEmpty()) {
                problems.add(
                        new Problem(
                                file,
                                "/" + field.getKey(),
                                field.getValue().asText() + " is no address",
                                "an IP number and a port, such as 127.0.0.1:8080"));
            }
        }
    }
}
