package org.martenwell.configuration;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Set;

/** Says which requests of a plain service may run more than once. */
public enum Repeatability {

    /** Any request may run again. */
    @JsonProperty("always")
    ALWAYS {
        @Override
        public boolean allows(String method) {
            return true;
        }
    },

    /** Requests with an idempotent method may run again, as RFC 9110 defines it. */
    @JsonProperty("by-method")
    BY_METHOD {
        @Override
        public boolean allows(String method) {
            return IDEMPOTENT.contains(method);
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
    private static final Set<String> IDEMPOTENT =
            Set.of("GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE");

    /**
     * Returns whether a request may run more than once.
     *
     * @param method The request's method.
     * @return {@code true} if a request with this method may run again.
     */
    public abstract boolean allows(String method);
}
