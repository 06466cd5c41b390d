package org.martenwell.observe;

import org.apache.logging.log4j.spi.Provider;

/** Tells Log4j's API which back end to use. Found by the service loader. */
public final class JsonLogProvider extends Provider {

    /** The priority among providers; it is the only one in the program. */
    private static final int PRIORITY = 100;

    /** Created by the service loader. */
    public JsonLogProvider() {
        super(PRIORITY, CURRENT_VERSION, JsonLoggerContextFactory.class);
    }
}
