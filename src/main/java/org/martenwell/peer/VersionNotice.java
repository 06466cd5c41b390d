package org.martenwell.peer;

import org.martenwell.message.PeerMessage;
import org.martenwell.version.VersionHistory;

/**
 * What a gateway knows of the versions that the directory listed of late.
 *
 * @param history The versions.
 */
public record VersionNotice(VersionHistory history) implements PeerMessage {}
