package org.martenwell.peer;

import java.util.List;

/**
 * Parts of the responses to offloaded requests.
 *
 * @param sender The gateway that handles the requests.
 * @param parts The parts, those of one request in their order.
 */
public record OffloadedResponse(String sender, List<ResponsePart> parts)
        implements OffloadMessage {}
