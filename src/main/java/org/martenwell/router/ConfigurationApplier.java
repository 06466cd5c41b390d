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
 * Validates a new configuration, writes it with a conditional update and waits until every router
 * has activated it. If a write gets no reply, the stored object is read to find out whether the
 * write took effect.
 */
public final class ConfigurationApplier {

    /** Maximum time to wait for all routers to activate a version. */
    private static final long ACTIVATION_TIMEOUT_MILLIS = 5_000;

    /** Interval between checks of the active versions. */
    private static final long ACTIVATION_POLL_MILLIS = 50;

    /** Maximum number of reads that resolve a lost reply. */
    private static final int MAX_READS = 5;

    /** Delay before each of these reads. */
    private static final long READ_DELAY_MILLIS = 300;

    /** Start of the comment line that makes each write unique, so that a read can recognise it. */
    private static final String MARKER_PREFIX = "// applied through ";

    private final NioReactor reactor;

    private final String router;

    private final Platform platform;

    private final ConfigurationStore store;

    private final Membership membership;

    /**
     * Creates an applier.
     *
     * @param reactor The event loop.
     * @param router This router's name.
     * @param platform The object service that stores the configuration.
     * @param store The store that activates the new version on this router.
     * @param membership The members and the versions that they report as active.
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
     * @param base The version that the change is based on, or 0 to create the first version.
     * @return The result. Fails with {@link ErrorKind#INVALID_DOCUMENT} or {@link
     *     ErrorKind#VERSION_CONFLICT} if the change was not written; the latter has the outcome
     *     {@link Outcome#UNKNOWN} if the write got no reply and another change was stored since.
     */
    public Promise<ApplyResult> apply(String text, long base) {
        try {
            FleetConfigurationReader.INSTANCE.read("configuration", text);
        } catch (MartenwellException invalid) {
            return Promise.ofException(invalid);
        }
        String marked =
                MARKER_PREFIX + router + " as " + UUID.randomUUID() + "\n" + withoutMarker(text);
        byte[] value = marked.getBytes(StandardCharsets.UTF_8);
        return write(value, base)
                .then(Promise::of, exception -> resolveLostReply(exception, value, base, MAX_READS))
                .whenResult(stored -> store.offer(stored.version(), marked))
                .then(stored -> awaitActivation(stored.version(), activationDeadline()));
    }

    /** Removes the comment line of an earlier write. */
    private static String withoutMarker(String text) {
        return text.startsWith(MARKER_PREFIX) ? text.substring(text.indexOf('\n') + 1) : text;
    }

    private Promise<StoredObject> write(byte[] value, long base) {
        return base == 0
                ? platform.create(ConfigurationStore.KIND, ConfigurationStore.NAME, value)
                : platform.update(ConfigurationStore.KIND, ConfigurationStore.NAME, value, base);
    }

    /**
     * Reads the stored object after a lost reply to find out whether the write took effect. Other
     * failures are returned unchanged.
     */
    private Promise<StoredObject> resolveLostReply(
            Exception exception, byte[] value, long base, int readsLeft) {
        if (!isLostReply(exception)) {
            return Promise.ofException(exception);
        }
        if (readsLeft == 0) {
            return Promise.ofException(exception);
        }
        return Promises.delay(Duration.ofMillis(READ_DELAY_MILLIS))
                .then(() -> platform.read(ConfigurationStore.KIND, ConfigurationStore.NAME))
                .then(
                        found -> resolveFromStored(found, value, base),
                        readFailure -> resolveLostReply(readFailure, value, base, readsLeft - 1));
    }

    private static boolean isLostReply(Exception exception) {
        return exception instanceof MartenwellException known
                && known.kind() == ErrorKind.PLATFORM_UNAVAILABLE
                && known.outcome() == Outcome.UNKNOWN;
    }

    /**
     * Returns the stored version if it is the one written, and writes again if the object has not
     * changed since {@code base}.
     */
    private Promise<StoredObject> resolveFromStored(
            Optional<StoredObject> found, byte[] value, long base) {
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
                                "The update got no reply, and version "
                                        + version
                                        + " now contains another change.")
                        .withOutcome(Outcome.UNKNOWN));
    }

    private long activationDeadline() {
        return reactor.currentTimeMillis() + ACTIVATION_TIMEOUT_MILLIS;
    }

    private Promise<ApplyResult> awaitActivation(long version, long deadline) {
        Map<String, Long> missing = routersBehind(version);
        if (missing.isEmpty() || reactor.currentTimeMillis() >= deadline) {
            return Promise.of(ApplyResult.of(version, missing));
        }
        return Promises.delay(Duration.ofMillis(ACTIVATION_POLL_MILLIS))
                .then(() -> awaitActivation(version, deadline));
    }

    /**
     * Returns the last reported versions of the routers that have not reported {@code version} or a
     * later one.
     */
    private Map<String, Long> routersBehind(long version) {
        Set<String> routers = new TreeSet<>(membership.listedRouters());
        routers.addAll(membership.others().keySet());
        Map<String, Long> missing = new TreeMap<>();
        for (String name : routers) {
            long reported =
                    membership
                            .find(name)
                            .map(Member::heartbeat)
                            .map(heartbeat -> heartbeat.configurationVersion())
                            .orElse(0L);
            if (reported < version) {
                missing.put(name, reported);
            }
        }
        return missing;
    }
}
