package org.martenwell.standin;

import java.util.List;
import org.martenwell.objects.Box;

/**
 * The settings of a platform stand-in.
 *
 * @param address The listen address.
 * @param boxLagMillis The delay until the box list shows a change, in milliseconds.
 * @param boxes The initial box list.
 */
public record PlatformSettings(String address, long boxLagMillis, List<Box> boxes) {}
