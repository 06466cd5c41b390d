package org.martenwell.gateway;

import io.activej.promise.Promise;
import java.util.List;
import java.util.function.LongSupplier;
import org.martenwell.directory.FleetDirectory;
import org.martenwell.version.OriginBatch;
import org.martenwell.version.StreamOrigin;

/**
 * Storage of origins in the directory. In a mesh, in which all gateways know all streams, one of
 * them writes; in a large fleet the relays do, since members know the streams of others only by
 * them.
 */
final class DirectoryOriginStorage implements OriginStorage {

    /** The name by which the gateway is selected that writes or removes. */
    private static final String OWNED = "stream-origins";

    private final FleetDirectory directory;

    private final ReportTopology topology;

    private final LivePeers livePeers;

    /** Provides the current time, in milliseconds. */
    private final LongSupplier clock;

    /**
     * Creates a storage.
     *
     * @param directory The directory.
     * @param topology Selects the relays.
     * @param livePeers The peers that reported recently.
     * @param clock Provides the current time, in milliseconds.
     */
    DirectoryOriginStorage(
            FleetDirectory directory,
            ReportTopology topology,
            LivePeers livePeers,
            LongSupplier clock) {
        this.directory = directory;
        this.topology = topology;
        this.livePeers = livePeers;
        this.clock = clock;
    }

    @Override
    public boolean writes() {
        return topology.usesRelays() ? topology.isRelay(clock.getAsLong()) : removes();
    }

    @Override
    public boolean reads() {
        return !topology.usesRelays() || topology.isRelay(clock.getAsLong());
    }

    @Override
    public boolean removes() {
        return livePeers.owns(OWNED, clock.getAsLong());
    }

    @Override
    public Promise<Void> write(OriginBatch batch) {
        return directory.storeOrigins(batch);
    }

    @Override
    public Promise<List<StreamOrigin>> read() {
        return directory.storedOrigins();
    }

    @Override
    public Promise<Integer> removeUnchanged(long now, long ageMillis) {
        return directory.removeUnchangedOrigins(now, ageMillis);
    }
}
