package org.martenwell.observe;

import org.apache.logging.log4j.spi.Provider;

/** Provider that selects {@link JsonLoggerContextFactory} as the back end of the Log4j API. */
public final class JsonLogProvider extends Provider {

    /** Log4j uses the provider with the highest priority; no other one is on the class path. */
    private static final int PRIORITY = 100;

    /** Created by the service loader. */
    public JsonLogProvider() {
        super(PRIORITY, CURRENT_VERSION, JsonLoggerContextFactory.class);
    }
}
