package org.martenwell.policy;

import dev.cel.common.types.CelType;
import dev.cel.common.types.MapType;
import dev.cel.common.types.SimpleType;
import java.util.Locale;

/** Variables of policy expressions. */
enum PolicyVariable {

    /** The organisation's name. */
    ORGANISATION(SimpleType.STRING),

    /** The organisation's labels. */
    LABELS(MapType.create(SimpleType.STRING, SimpleType.STRING)),

    /** The requested model, empty for plain services. */
    MODEL(SimpleType.STRING),

    /** The requested plain service, empty for models. */
    SERVICE(SimpleType.STRING),

    /** The HTTP method. */
    METHOD(SimpleType.STRING),

    /** The size of the request body, in bytes. */
    PROMPT_BYTES(SimpleType.INT),

    /** The time of day in UTC, in minutes since midnight. */
    MINUTE_OF_DAY(SimpleType.INT),

    /** The day of the week in UTC, from 1 (Monday) to 7 (Sunday). */
    DAY_OF_WEEK(SimpleType.INT),

    /** The request headers exposed by the configuration, by name. */
    HEADERS(MapType.create(SimpleType.STRING, SimpleType.STRING));

    private final CelType type;

    PolicyVariable(CelType type) {
        this.type = type;
    }

    /** {@return the variable's name in expressions, which is the constant's name in lower case} */
    String variableName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** {@return the variable's type in CEL} */
    CelType type() {
        return type;
    }
}
