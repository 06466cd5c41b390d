package org.martenwell.quarantine;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The scopes of the prompt parts that this gateway has sent, by which quarantined parts are told
 * from quarantined requests. There is one for each model.
 */
final class PartScopes {

    /** The most scopes that are tracked, well above the number of models of a fleet. */
    private static final int MAX_SCOPES = 1_024;

    /** The scopes, least recently added first. */
    private final Set<Long> scopes = new LinkedHashSet<>();

    /** Creates an instance without scopes. */
    PartScopes() {}

    /**
     * Adds the scope of a part.
     *
     * @param part The part.
     */
    void add(Fingerprint part) {
        if (scopes.add(part.scope()) && scopes.size() > MAX_SCOPES) {
            Iterator<Long> oldest = scopes.iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /**
     * Returns whether a fingerprint is known to be that of a part.
     *
     * @param fingerprint The fingerprint of a part or of a request.
     * @return {@code true} if a part of its scope was added.
     */
    boolean contains(Fingerprint fingerprint) {
        return scopes.contains(fingerprint.scope());
    }
}
