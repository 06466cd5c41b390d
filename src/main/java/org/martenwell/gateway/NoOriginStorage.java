package org.martenwell.gateway;

import io.activej.promise.Promise;
import java.util.List;
import org.martenwell.version.OriginBatch;
import org.martenwell.version.StreamOrigin;

/** Storage of a gateway that has no directory, in which nothing lasts. */
final class NoOriginStorage implements OriginStorage {

    /** Creates a storage. */
    NoOriginStorage() {}

    @Override
    public boolean writes() {
        return false;
    }

    @Override
    public boolean reads() {
        return false;
    }

    @Override
    public boolean removes() {
        return false;
    }

    @Override
    public Promise<Void> write(OriginBatch batch) {
        return Promise.complete();
    }

    @Override
    public Promise<List<StreamOrigin>> read() {
        return Promise.of(List.of());
    }

    @Override
    public Promise<Integer> removeUnchanged(long now, long ageMillis) {
        return Promise.of(0);
    }
}
