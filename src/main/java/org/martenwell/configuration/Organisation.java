package org.martenwell.configuration;

import java.util.List;
import java.util.Map;

/**
 * An organisation that shares the fleet.
 *
 * @param name The organisation's name.
 * @param contract The name of the contract that binds it.
 * @param labels Labels that policies may read.
 * @param keyHashes The SHA-256 hashes of its callers' keys, in lower-case hexadecimal digits.
 */
public record Organisation(
        String name, String contract, Map<String, String> labels, List<String> keyHashes) {}
