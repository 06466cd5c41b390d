package org.martenwell.target;

import java.util.List;

/**
 * A target's report on its load, possibly outdated.
 *
 * @param slots The number of requests that it processes concurrently.
 * @param running The number of requests being processed.
 * @param waiting The number of requests queued inside the target.
 * @param leaving {@code true} if it is draining and accepts no new requests.
 * @param serves The models or services that it has loaded.
 */
public record LoadReport(
        int slots, int running, int waiting, boolean leaving, List<String> serves) {}
