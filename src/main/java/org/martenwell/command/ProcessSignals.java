package org.martenwell.command;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.observe.LogEvent;

/**
 * Handles signals of the operating system. It calls {@code sun.misc.Signal} by reflection, because
 * the compiler warns about direct uses and the build treats warnings as errors.
 */
final class ProcessSignals {

    private static final Logger LOGGER = LogManager.getLogger(ProcessSignals.class);

    private ProcessSignals() {}

    /**
     * Registers a handler of a signal. Logs a warning if the virtual machine doesn't allow it.
     *
     * @param name The signal's name without {@code SIG}.
     * @param handler The handler, called in a separate thread.
     */
    static void handle(String name, Runnable handler) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> type = Class.forName("sun.misc.SignalHandler");
            InvocationHandler invocation =
                    (proxy, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            handler.run();
                        }
                        return null;
                    };
            Object proxy =
                    Proxy.newProxyInstance(
                            type.getClassLoader(), new Class<?>[] {type}, invocation);
            signal.getMethod("handle", signal, type)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), proxy);
        } catch (ReflectiveOperationException exception) {
            LOGGER.warn(
                    LogEvent.of("signal-unhandled")
                            .with("signal", name)
                            .with("reason", exception.toString())
                            .message());
        }
    }
}
