package org.martenwell.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.martenwell.balance.CapacityNotice;
import org.martenwell.balance.TargetSpeedReport;
import org.martenwell.directory.GatewayMember;

/**
 * Builds the capacity notices of this gateway and distributes those of its peers. Peers of an
 * earlier build close a connection on which the message arrives, so none is sent while the fleet
 * has such a gateway.
 */
final class CapacityExchange {

    /** The interval of notices, in milliseconds. */
    private static final long INTERVAL_MILLIS = 400;

    private final String name;

    /** Receives the notices of peers. */
    private final List<Consumer<CapacityNotice>> receivers = new ArrayList<>();

    /** Returns the processor time to offer, empty if nothing is offered. */
    private Optional<IntSupplier> spareMillis = Optional.empty();

    /** Returns the samples since the last call, empty if none are taken. */
    private Optional<Supplier<List<TargetSpeedReport>>> speeds = Optional.empty();

    /** Set while all gateways know the message. */
    private boolean allowed;

    /** The time of the last notice, in milliseconds. */
    private long sentMillis = Long.MIN_VALUE / 2;

    /**
     * Creates an exchange that sends no notices.
     *
     * @param name The name of this gateway.
     */
    CapacityExchange(String name) {
        this.name = name;
    }

    /**
     * Includes spare processor time in notices.
     *
     * @param source Returns the time in milliseconds per second.
     */
    void offer(IntSupplier source) {
        spareMillis = Optional.of(source);
    }

    /**
     * Includes samples of targets' speeds in notices.
     *
     * @param source Returns the samples since the last call.
     */
    void reportSpeeds(Supplier<List<TargetSpeedReport>> source) {
        speeds = Optional.of(source);
    }

    /**
     * Adds a receiver of peers' notices.
     *
     * @param receiver The receiver.
     */
    void onNotice(Consumer<CapacityNotice> receiver) {
        receivers.add(receiver);
    }

    /**
     * Updates the gateways of the fleet.
     *
     * @param members The gateways, including this one.
     */
    void members(Collection<GatewayMember> members) {
        allowed =
                members.stream()
                        .allMatch(each -> each.protocol() >= GatewayMember.OFFLOAD_PROTOCOL);
    }

    /** {@return {@code true} while all gateways of the fleet know capacity notices} */
    boolean allowed() {
        return allowed;
    }

    /**
     * Returns the next notice if it is due.
     *
     * @param now The current time, in milliseconds.
     * @return The notice, or empty.
     */
    Optional<CapacityNotice> next(long now) {
        boolean enabled = spareMillis.isPresent() || speeds.isPresent();
        if (!allowed || !enabled || now - sentMillis < INTERVAL_MILLIS) {
            return Optional.empty();
        }
        sentMillis = now;
        return Optional.of(
                new CapacityNotice(
                        name,
                        spareMillis.map(IntSupplier::getAsInt).orElse(0),
                        speeds.map(Supplier::get).orElse(List.of())));
    }

    /**
     * Distributes the notice of a gateway.
     *
     * @param notice The notice; one of this gateway itself is ignored.
     */
    void receive(CapacityNotice notice) {
        if (!notice.gateway().equals(name)) {
            receivers.forEach(each -> each.accept(notice));
        }
    }
}
