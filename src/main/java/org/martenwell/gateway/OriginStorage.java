package org.martenwell.gateway;

import io.activej.promise.Promise;
import java.util.List;
import org.martenwell.version.OriginBatch;
import org.martenwell.version.StreamOrigin;

/** Lasting storage of the versions at which streams began, and this gateway's part in it. */
interface OriginStorage {

    /** {@return {@code true} if this gateway writes what it and others know} */
    boolean writes();

    /** {@return {@code true} if this gateway answers others by what is stored} */
    boolean reads();

    /** {@return {@code true} if this gateway removes what is too old} */
    boolean removes();

    /**
     * Writes a batch.
     *
     * @param batch The batch.
     * @return A promise that completes when all of its origins are stored.
     */
    Promise<Void> write(OriginBatch batch);

    /** {@return all origins that are stored} */
    Promise<List<StreamOrigin>> read();

    /**
     * Removes the batches that have not changed since an earlier call of this method.
     *
     * @param now The current time, in milliseconds.
     * @param ageMillis The time that must have passed since that call, in milliseconds.
     * @return A promise of the number of batches that are left.
     */
    Promise<Integer> removeUnchanged(long now, long ageMillis);
}
