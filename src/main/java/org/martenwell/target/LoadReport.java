package org.martenwell.target;

import java.util.List;

/**
 * What a target says of its load, some time ago.
 *
 * @param slots How many requests it runs at once.
 * @param running How many it runs.
 * @param waiting How many wait inside it.
 * @param leaving {@code true} if it takes no new work.
 * @param serves The models or services that it holds.
 */
public record LoadReport(
        int slots, int running, int waiting, boolean leaving, List<String> serves) {}
