package org.martenwell.configuration;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Set;

/** Rule that decides whether a request to a plain service may run more than once, as in a retry. */
public enum Repeatability {

    /** Every request may run again. */
    @JsonProperty("always")
    ALWAYS {
        @Override
        public boolean allows(String method) {
            return true;
        }
    },

    /** Requests with an idempotent method, as RFC 9110 defines it, may run again. */
    @JsonProperty("by-method")
    BY_METHOD {
        @Override
        public boolean allows(String method) {
            return IDEMPOTENT_METHODS.contains(method);
        }
    },

    /** No request may run again. */
    @JsonProperty("never")
    NEVER {
        @Override
        public boolean allows(String method) {
            return false;
        }
    };

    /** The idempotent methods of RFC 9110, section 9.2.2. */
    private static final Set<String> IDEMPOTENT_METHODS =
            Set.of("GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE");

    /**
     * Checks whether a request may run more than once.
     *
     * @param method The HTTP method, in upper case.
     * @return {@code true} if requests with this method may run again.
     */
    public abstract boolean allows(String method);
}
