package org.martenwell.peer;

import java.util.List;
import org.martenwell.message.PeerMessage;
import org.martenwell.version.ServiceVersion;

/**
 * Versions that the directory holds a record of.
 *
 * @param versions The versions.
 */
public record VersionRecordNotice(List<ServiceVersion> versions) implements PeerMessage {}
