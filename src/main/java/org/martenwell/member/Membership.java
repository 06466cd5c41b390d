package org.martenwell.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.martenwell.objects.Box;
import org.martenwell.objects.BoxRole;

/**
 * View that one router has of the members of its fleet. A router becomes a member by its first
 * heartbeat; the boxes listed by the platform only provide addresses to connect to.
 */
public final class Membership {

    /** The name of this router. */
    private final String self;

    /** The times of failure detection. */
    private final MembershipParameters parameters;

    /** The members other than this router, by name. */
    private final Map<String, Member> members = new TreeMap<>();

    /** The latest incarnation of each router by name, including removed ones. */
    private final Map<String, Long> incarnations = new TreeMap<>();

    /** The addresses of the other routers listed by the platform, by name. */
    private final Map<String, String> listed = new LinkedHashMap<>();

    /**
     * Creates a membership that contains only this router.
     *
     * @param self The name of this router.
     * @param parameters The times of failure detection.
     */
    public Membership(String self, MembershipParameters parameters) {
        this.self = self;
        this.parameters = parameters;
    }

    /**
     * Replaces the routers listed by the platform.
     *
     * @param boxes All boxes listed; those of other roles are ignored.
     */
    public void replaceListedRouters(Collection<Box> boxes) {
        listed.clear();
        for (Box box : boxes) {
            if (box.role() == BoxRole.ROUTER && !box.name().equals(self)) {
                listed.put(box.name(), box.address());
            }
        }
    }

    /**
     * Applies a heartbeat. Ignores this router's own ones and those older than the last one
     * applied.
     *
     * @param heartbeat The heartbeat.
     * @param now The current time, in milliseconds.
     * @return {@code true} if a member joined, recovered, restarted or changed its readiness.
     */
    public boolean applyHeartbeat(Heartbeat heartbeat, long now) {
        String name = heartbeat.router();
        if (name.equals(self) || isOutdated(heartbeat)) {
            return false;
        }
        incarnations.put(name, heartbeat.incarnation());
        Member before = members.put(name, new Member(heartbeat, now, MemberState.ALIVE));
        return before == null
                || before.state() != MemberState.ALIVE
                || before.heartbeat().incarnation() != heartbeat.incarnation()
                || before.heartbeat().ready() != heartbeat.ready();
    }

    /**
     * Suspects or removes members whose heartbeats are late.
     *
     * @param now The current time, in milliseconds.
     * @return The changes.
     */
    public MembershipChange expire(long now) {
        List<String> removed = new ArrayList<>();
        boolean suspected = false;
        for (Member member : List.copyOf(members.values())) {
            long elapsed = now - member.heartbeatAtMillis();
            if (elapsed >= parameters.removeMillis()) {
                members.remove(member.name());
                removed.add(member.name());
            } else if (elapsed >= parameters.suspectMillis()
                    && member.state() == MemberState.ALIVE) {
                suspected = true;
                members.put(
                        member.name(),
                        new Member(
                                member.heartbeat(),
                                member.heartbeatAtMillis(),
                                MemberState.SUSPECTED));
            }
        }
        return new MembershipChange(removed, suspected);
    }

    /** {@return a copy of the members other than this router, by name} */
    public Map<String, Member> others() {
        return new TreeMap<>(members);
    }

    /**
     * Returns a member other than this router.
     *
     * @param name The name of the router.
     * @return The member, empty if the router isn't a member.
     */
    public Optional<Member> find(String name) {
        return Optional.ofNullable(members.get(name));
    }

    /** {@return the names of all members, including this router} */
    public Set<String> names() {
        Set<String> names = new LinkedHashSet<>(members.keySet());
        names.add(self);
        return names;
    }

    /**
     * Returns the addresses of the routers to connect to.
     *
     * @return The addresses of listed routers and of members, by name. The address in a member's
     *     heartbeat takes precedence.
     */
    public Map<String, String> addresses() {
        Map<String, String> addresses = new LinkedHashMap<>(listed);
        for (Member member : members.values()) {
            addresses.put(member.name(), member.heartbeat().address());
        }
        return addresses;
    }

    /** {@return the names of the other routers listed by the platform} */
    public Set<String> listedRouters() {
        return Set.copyOf(listed.keySet());
    }

    /** Returns {@code true} unless a heartbeat is newer than those applied before. */
    private boolean isOutdated(Heartbeat heartbeat) {
        long latest = incarnations.getOrDefault(heartbeat.router(), Long.MIN_VALUE);
        Member member = members.get(heartbeat.router());
        boolean sameIncarnation =
                member != null && member.heartbeat().incarnation() == heartbeat.incarnation();
        return heartbeat.incarnation() < latest
                || (sameIncarnation && heartbeat.sequence() <= member.heartbeat().sequence());
    }
}
