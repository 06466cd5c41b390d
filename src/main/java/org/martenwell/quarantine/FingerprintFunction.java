package org.martenwell.quarantine;

import com.google.common.hash.HashFunction;
import java.nio.charset.StandardCharsets;
import org.martenwell.hash.KeyedHash;

/**
 * Computes fingerprints by SipHash-2-4 with a key shared by the fleet. All gateways compute the
 * same fingerprint for a request, and a caller without the key can't construct a collision with
 * another caller's request.
 */
public final class FingerprintFunction {

    /** Derives a key for fingerprints, distinct from other uses of the fleet's key. */
    private static final String KEY_PURPOSE = "fingerprint of a request";

    /** Begins the scope of prompt parts; no HTTP method is like it. */
    private static final String PART_PURPOSE = "part of a prompt";

    /** Separates the parts of a scope, none of which can contain a line feed. */
    private static final char SEPARATOR = '\n';

    private final HashFunction function;

    /**
     * Creates a function from the fleet's key.
     *
     * @param fleetKey The key that all gateways share.
     */
    public FingerprintFunction(String fleetKey) {
        this.function = KeyedHash.of(fleetKey + SEPARATOR + KEY_PURPOSE);
    }

    /**
     * Computes the hash of everything but the body, so that a request can be looked up before its
     * body is hashed.
     *
     * @param method The HTTP method.
     * @param host The host of the route.
     * @param target The path with its query.
     * @param organisation The caller's organisation, empty on routes without API keys.
     * @return The scope of the fingerprint.
     */
    public long scope(String method, String host, String target, String organisation) {
        String all = method + SEPARATOR + host + SEPARATOR + target + SEPARATOR + organisation;
        return function.hashString(all, StandardCharsets.UTF_8).asLong();
    }

    /**
     * Computes the scope of the prompt parts of a model.
     *
     * @param model The name of the model.
     * @return The scope of their fingerprints.
     */
    public long partScope(String model) {
        String all = PART_PURPOSE + SEPARATOR + model;
        return function.hashString(all, StandardCharsets.UTF_8).asLong();
    }

    /**
     * Computes the fingerprint of a prompt part.
     *
     * @param scope The scope, as returned by {@link #partScope}.
     * @param id The part's id.
     * @return The fingerprint.
     */
    public Fingerprint ofPart(long scope, String id) {
        long content =
                function.newHasher()
                        .putLong(scope)
                        .putString(id, StandardCharsets.UTF_8)
                        .hash()
                        .asLong();
        return new Fingerprint(scope, content);
    }

    /**
     * Computes a fingerprint.
     *
     * @param scope The scope, as returned by {@link #scope}.
     * @param body The complete body.
     * @return The fingerprint.
     */
    public Fingerprint of(long scope, byte[] body) {
        long content = function.newHasher().putLong(scope).putBytes(body).hash().asLong();
        return new Fingerprint(scope, content);
    }
}
