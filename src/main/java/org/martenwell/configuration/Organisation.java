package org.martenwell.configuration;

import java.util.List;
import java.util.Map;

/**
 * A customer that shares the fleet with others.
 *
 * @param name The organisation's name.
 * @param contract The name of its contract.
 * @param labels Labels that policies may read.
 * @param keyHashes The SHA-256 hashes of its API keys, in lower-case hexadecimal digits.
 */
public record Organisation(
        String name, String contract, Map<String, String> labels, List<String> keyHashes) {}
