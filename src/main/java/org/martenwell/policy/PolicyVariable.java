package org.martenwell.policy;

import dev.cel.common.types.CelType;
import dev.cel.common.types.MapType;
import dev.cel.common.types.SimpleType;
import java.util.Locale;

/** The variables that a policy program may read. */
enum PolicyVariable {

    /** The organisation's name. */
    ORGANISATION(SimpleType.STRING),

    /** The organisation's labels. */
    LABELS(MapType.create(SimpleType.STRING, SimpleType.STRING)),

    /** The model asked for or an empty string. */
    MODEL(SimpleType.STRING),

    /** The plain service asked for or an empty string. */
    SERVICE(SimpleType.STRING),

    /** The HTTP method. */
    METHOD(SimpleType.STRING),

    /** The size of the body, in bytes. */
    PROMPT_BYTES(SimpleType.INT),

    /** Minutes since midnight, UTC. */
    MINUTE_OF_DAY(SimpleType.INT),

    /** The day of the week, UTC, Monday being 1. */
    DAY_OF_WEEK(SimpleType.INT),

    /** The request headers that the configuration names. */
    HEADERS(MapType.create(SimpleType.STRING, SimpleType.STRING));

    /** The variable's type. */
    private final CelType type;

    /**
     * Creates a variable.
     *
     * @param type The variable's type.
     */
    PolicyVariable(CelType type) {
        this.type = type;
    }

    /**
     * Returns the variable's name in programs.
     *
     * @return The constant's name in lower case.
     */
    String variable() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the variable's type.
     *
     * @return The type.
     */
    CelType type() {
        return type;
    }
}
