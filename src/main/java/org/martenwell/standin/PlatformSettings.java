package org.martenwell.standin;

import java.util.List;
import org.martenwell.objects.Box;

/**
 * The settings of a stand-in platform.
 *
 * @param address Where it listens.
 * @param boxLagMillis How late its box list is, in milliseconds.
 * @param boxes The boxes.
 */
public record PlatformSettings(String address, long boxLagMillis, List<Box> boxes) {}
