package org.martenwell.command;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.observe.LogEvent;

/**
 * Handles signals of the operating system. The class of the virtual machine for that is called by
 * reflection, because the compiler warns of it and this build takes warnings for errors.
 */
final class ProcessSignals {

    /** The log. */
    private static final Logger LOGGER = LogManager.getLogger(ProcessSignals.class);

    /** Not instantiated. */
    private ProcessSignals() {}

    /**
     * Handles a signal.
     *
     * @param name The signal's name without {@code SIG}.
     * @param handler Called in a thread of its own.
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
