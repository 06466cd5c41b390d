package org.martenwell.observe;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.util.Optional;

/** Measures what this process uses of its box. */
public final class ProcessUsage {

    /** How many nanoseconds a millisecond has. */
    private static final long NANOS_A_MILLI = 1_000_000;

    /** How many bytes a megabyte has. */
    private static final long MEGABYTE = 1 << 20;

    /** The processor time at the last measurement, in milliseconds. */
    private long processorMillis;

    /** The time spent on collecting garbage at the last measurement, in milliseconds. */
    private long collectionMillis;

    /**
     * What a process used between two measurements and holds at the second one.
     *
     * @param processorMillis The processor time, in milliseconds.
     * @param collectionMillis The time spent on collecting garbage, in milliseconds.
     * @param heapMegabytes The heap in use, garbage included, in megabytes.
     * @param descriptors The open files and sockets, 0 if the platform does not tell.
     * @param descriptorLimit How many there may be, 0 if the platform does not tell.
     */
    public record Interval(
            long processorMillis,
            long collectionMillis,
            long heapMegabytes,
            long descriptors,
            long descriptorLimit) {}

    /** Creates a measurement that begins with the process. */
    public ProcessUsage() {}

    /**
     * Measures.
     *
     * @return What was used since the last call.
     */
    public Interval take() {
        Optional<UnixOperatingSystemMXBean> system = system();
        long processor = system.map(each -> each.getProcessCpuTime() / NANOS_A_MILLI).orElse(0L);
        long collection = collection();
        Interval interval =
                new Interval(
                        processor - processorMillis,
                        collection - collectionMillis,
                        ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed()
                                / MEGABYTE,
                        system.map(UnixOperatingSystemMXBean::getOpenFileDescriptorCount)
                                .orElse(0L),
                        system.map(UnixOperatingSystemMXBean::getMaxFileDescriptorCount)
                                .orElse(0L));
        processorMillis = processor;
        collectionMillis = collection;
        return interval;
    }

    /**
     * Returns what the platform tells of processes.
     *
     * @return What it tells or empty if it does not.
     */
    private static Optional<UnixOperatingSystemMXBean> system() {
        return ManagementFactory.getOperatingSystemMXBean()
                        instanceof UnixOperatingSystemMXBean bean
                ? Optional.of(bean)
                : Optional.empty();
    }

    /**
     * Returns how long garbage was collected since the start.
     *
     * @return The time in milliseconds.
     */
    private static long collection() {
        return ManagementFactory.getGarbageCollectorMXBeans().stream()
                .mapToLong(GarbageCollectorMXBean::getCollectionTime)
                .sum();
    }
}
