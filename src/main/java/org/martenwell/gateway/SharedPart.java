package org.martenwell.gateway;

import org.martenwell.quarantine.Fingerprint;

/**
 * A part of a prompt that other requests may share.
 *
 * @param id The id that callers give it.
 * @param fingerprint The fingerprint, by which gateways recognise it.
 */
record SharedPart(String id, Fingerprint fingerprint) {}
