package org.martenwell.router;

import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.nio.NioReactor;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.UUID;
import org.martenwell.configuration.FleetConfigurationReader;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.error.Outcome;
import org.martenwell.member.Member;
import org.martenwell.member.Membership;
import org.martenwell.objects.Platform;
import org.martenwell.objects.StoredObject;

/**
 * Changes the configuration: checks it whole, writes it by conditional update, settles a lost reply
 * by reading, and waits until every router has it in force.
 */
public final class ConfigurationApplier {

    /** How long to wait for all routers, in milliseconds. */
    private static final long IN_FORCE_MILLIS = 5_000;

    /** How often to look, in milliseconds. */
    private static final long LOOK_MILLIS = 50;

    /** How often a lost reply is settled by reading before that is given up. */
    private static final int MAX_READS = 5;

    /** How long to wait between reads, in milliseconds. */
    private static final long READ_MILLIS = 300;

    /** Starts the comment that marks who wrote a version. */
    private static final String MARK = "// applied through ";

    /** The loop. */
    private final NioReactor reactor;

    /** This router's name. */
    private final String router;

    /** The platform. */
    private final Platform platform;

    /** The configuration in force. */
    private final ConfigurationStore store;

    /** Who is a member. */
    private final Membership membership;

    /**
     * Creates an applier.
     *
     * @param reactor The loop.
     * @param router This router's name.
     * @param platform The platform.
     * @param store The configuration in force.
     * @param membership Who is a member.
     */
    public ConfigurationApplier(
            NioReactor reactor,
            String router,
            Platform platform,
            ConfigurationStore store,
            Membership membership) {
        this.reactor = reactor;
        this.router = router;
        this.platform = platform;
        this.store = store;
        this.membership = membership;
    }

    /**
     * Applies a configuration.
     *
     * @param text The configuration, JSON with comments.
     * @param base The version that it was based on, 0 to create the first.
     * @return What became of it. It fails with {@link ErrorKind#INVALID_DOCUMENT} or {@link
     *     ErrorKind#VERSION_CONFLICT} if nothing was written.
     */
    public Promise<ApplyResult> apply(String text, long base) {
        try {
            FleetConfigurationReader.INSTANCE.read("configuration", text);
        } catch (MartenwellException invalid) {
            return Promise.ofException(invalid);
        }
        String marked = MARK + router + " as " + UUID.randomUUID() + "\n" + unmarked(text);
        byte[] value = marked.getBytes(StandardCharsets.UTF_8);
        return write(value, base)
                .then(Promise::of, exception -> settle(exception, value, base, MAX_READS))
                .whenResult(stored -> store.offer(stored.version(), marked))
                .then(stored -> awaitInForce(stored.version(), deadline()));
    }

    /**
     * Removes the mark of an earlier write.
     *
     * @param text The configuration.
     * @return The configuration without the mark.
     */
    private static String unmarked(String text) {
        return text.startsWith(MARK) ? text.substring(text.indexOf('\n') + 1) : text;
    }

    /**
     * Writes the object.
     *
     * @param value The value.
     * @param base The version that it was based on, 0 to create it.
     * @return The new version.
     */
    private Promise<StoredObject> write(byte[] value, long base) {
        return base == 0
                ? platform.create(ConfigurationStore.KIND, ConfigurationStore.NAME, value)
                : platform.update(ConfigurationStore.KIND, ConfigurationStore.NAME, value, base);
    }

    /**
     * Finds out whether a write without a reply took effect.
     *
     * @param exception Why there was no reply.
     * @param value The value written, with its mark.
     * @param base The version that it was based on.
     * @param readsLeft How often to read at most.
     * @return The version if it took effect.
     */
    private Promise<StoredObject> settle(
            Exception exception, byte[] value, long base, int readsLeft) {
        if (!isLostReply(exception)) {
            return Promise.ofException(exception);
        }
        if (readsLeft == 0) {
            return Promise.ofException(exception);
        }
        return Promises.delay(Duration.ofMillis(READ_MILLIS))
                .then(() -> platform.read(ConfigurationStore.KIND, ConfigurationStore.NAME))
                .then(
                        found -> settled(found, value, base),
                        again -> settle(again, value, base, readsLeft - 1));
    }

    /**
     * Returns whether a failure leaves open what happened.
     *
     * @param exception The failure.
     * @return {@code true} if the write may have taken effect.
     */
    private static boolean isLostReply(Exception exception) {
        return exception instanceof MartenwellException known
                && known.kind() == ErrorKind.PLATFORM_UNAVAILABLE
                && known.outcome() == Outcome.UNKNOWN;
    }

    /**
     * Decides by what was read.
     *
     * @param found The object found.
     * @param value The value written, with its mark.
     * @param base The version that it was based on.
     * @return The version if it took effect.
     */
    private Promise<StoredObject> settled(Optional<StoredObject> found, byte[] value, long base) {
        if (found.isPresent() && Arrays.equals(found.get().value(), value)) {
            return Promise.of(found.get());
        }
        long version = found.map(StoredObject::version).orElse(0L);
        if (version == base) {
            return write(value, base);
        }
        return Promise.ofException(
                MartenwellException.of(
                                ErrorKind.VERSION_CONFLICT,
                                "No reply came, and version "
                                        + version
                                        + " now holds another change.")
                        .withOutcome(Outcome.UNKNOWN));
    }

    /**
     * Returns until when to wait for all routers.
     *
     * @return The time.
     */
    private long deadline() {
        return reactor.currentTimeMillis() + IN_FORCE_MILLIS;
    }

    /**
     * Waits until every router has a version in force.
     *
     * @param version The version.
     * @param deadline Until when to wait.
     * @return What became of the change.
     */
    private Promise<ApplyResult> awaitInForce(long version, long deadline) {
        Map<String, Long> missing = missing(version);
        if (missing.isEmpty() || reactor.currentTimeMillis() >= deadline) {
            return Promise.of(ApplyResult.of(version, missing));
        }
        return Promises.delay(Duration.ofMillis(LOOK_MILLIS))
                .then(() -> awaitInForce(version, deadline));
    }

    /**
     * Lists the routers that have not told that they have a version in force.
     *
     * @param version The version.
     * @return The versions that they last told, by name.
     */
    private Map<String, Long> missing(long version) {
        Set<String> routers = new TreeSet<>(membership.listedRouters());
        routers.addAll(membership.others().keySet());
        Map<String, Long> missing = new TreeMap<>();
        for (String name : routers) {
            long told =
                    membership
                            .find(name)
                            .map(Member::heartbeat)
                            .map(heartbeat -> heartbeat.configurationVersion())
                            .orElse(0L);
            if (told < version) {
                missing.put(name, told);
            }
        }
        return missing;
    }
}
