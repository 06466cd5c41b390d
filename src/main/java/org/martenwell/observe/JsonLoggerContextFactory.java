package org.martenwell.observe;

import java.net.URI;
import org.apache.logging.log4j.spi.LoggerContext;
import org.apache.logging.log4j.spi.LoggerContextFactory;

/** Factory that returns the same logger context to every class loader of the process. */
public final class JsonLoggerContextFactory implements LoggerContextFactory {

    private final JsonLoggerContext context = JsonLoggerContext.of(LogConfiguration.current());

    /** Created by the Log4j API. */
    public JsonLoggerContextFactory() {}

    @Override
    public LoggerContext getContext(
            String caller, ClassLoader loader, Object externalContext, boolean currentContext) {
        return context;
    }

    @Override
    public LoggerContext getContext(
            String caller,
            ClassLoader loader,
            Object externalContext,
            boolean currentContext,
            URI configuration,
            String name) {
        return context;
    }

    @Override
    public void removeContext(LoggerContext removed) {}

    @Override
    public boolean isClassLoaderDependent() {
        return false;
    }
}
