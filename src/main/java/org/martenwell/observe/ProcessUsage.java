package org.martenwell.observe;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.util.Optional;
import java.util.OptionalLong;

/** Resource usage of this process on its box. Not thread-safe. */
public final class ProcessUsage {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private static final long BYTES_PER_MEGABYTE = 1 << 20;

    /**
     * Management bean with the process's CPU time and file descriptors. It is looked up once and on
     * first use, since the look-up is expensive and loads classes.
     */
    private static final class OperatingSystem {

        private static final Optional<UnixOperatingSystemMXBean> BEAN =
                ManagementFactory.getOperatingSystemMXBean()
                                instanceof UnixOperatingSystemMXBean bean
                        ? Optional.of(bean)
                        : Optional.empty();

        private OperatingSystem() {}
    }

    /** CPU time at the last measurement, in milliseconds. */
    private long processorMillis;

    /** Garbage collection time at the last measurement, in milliseconds. */
    private long collectionMillis;

    /**
     * Resource usage over the interval between two measurements. The times are those of the
     * interval, all other values are those at its end.
     *
     * @param processorMillis The CPU time, in milliseconds, or 0 if it is unavailable.
     * @param collectionMillis The time spent on garbage collection, in milliseconds.
     * @param heapMegabytes The used heap, including garbage, in mebibytes.
     * @param descriptors The number of open file descriptors, or 0 if it is unavailable.
     * @param descriptorLimit The limit of open file descriptors, or 0 if it is unavailable.
     */
    public record Interval(
            long processorMillis,
            long collectionMillis,
            long heapMegabytes,
            long descriptors,
            long descriptorLimit) {}

    /** Creates an instance whose first interval begins at the start of the process. */
    public ProcessUsage() {}

    /**
     * Measures the usage since the last call.
     *
     * @return The usage, from the start of the process at the first call.
     */
    public Interval measure() {
        Optional<UnixOperatingSystemMXBean> operatingSystem = OperatingSystem.BEAN;
        long processorTotal = processorMillis();
        long collectionTotal = collectionTotal();
        Interval interval =
                new Interval(
                        processorTotal - processorMillis,
                        collectionTotal - collectionMillis,
                        ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed()
                                / BYTES_PER_MEGABYTE,
                        operatingSystem
                                .map(UnixOperatingSystemMXBean::getOpenFileDescriptorCount)
                                .orElse(0L),
                        operatingSystem
                                .map(UnixOperatingSystemMXBean::getMaxFileDescriptorCount)
                                .orElse(0L));
        processorMillis = processorTotal;
        collectionMillis = collectionTotal;
        return interval;
    }

    /**
     * Returns the CPU time since the start of the process.
     *
     * @return The time in milliseconds, or 0 if it is unavailable.
     */
    public static long processorMillis() {
        return OperatingSystem.BEAN
                .map(each -> each.getProcessCpuTime() / NANOS_PER_MILLI)
                .orElse(0L);
    }

    /**
     * Returns the limit of open file descriptors.
     *
     * @return The limit, or empty if the platform doesn't tell it.
     */
    public static OptionalLong descriptorLimit() {
        return OperatingSystem.BEAN
                .map(each -> OptionalLong.of(each.getMaxFileDescriptorCount()))
                .orElseGet(OptionalLong::empty);
    }

    /**
     * Returns the garbage collection time since the start of the process.
     *
     * @return The time of all collectors, in milliseconds.
     */
    private static long collectionTotal() {
        return ManagementFactory.getGarbageCollectorMXBeans().stream()
                .mapToLong(GarbageCollectorMXBean::getCollectionTime)
                .sum();
    }
}
