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
 * The routers that one router counts as members. The platform's list only tells whom to call;
 * heartbeats decide who is there.
 */
public final class Membership {

    /** This router's name. */
    private final String self;

    /** The times that tune membership. */
    private final MembershipParameters parameters;

    /** The members other than this router, by name. */
    private final Map<String, Member> members = new TreeMap<>();

    /** The newest incarnation seen by name, also of those that were removed. */
    private final Map<String, Long> incarnations = new TreeMap<>();

    /** The addresses of other routers by name, from the platform's list. */
    private final Map<String, String> listed = new LinkedHashMap<>();

    /**
     * Creates a membership of one.
     *
     * @param self This router's name.
     * @param parameters The times that tune membership.
     */
    public Membership(String self, MembershipParameters parameters) {
        this.self = self;
        this.parameters = parameters;
    }

    /**
     * Takes in the platform's list.
     *
     * @param boxes The boxes.
     */
    public void listed(Collection<Box> boxes) {
        listed.clear();
        for (Box box : boxes) {
            if (box.role() == BoxRole.ROUTER && !box.name().equals(self)) {
                listed.put(box.name(), box.address());
            }
        }
    }

    /**
     * Takes in a heartbeat.
     *
     * @param heartbeat The heartbeat.
     * @param now The time.
     * @return {@code true} if who is a member, or what is known of one, changed.
     */
    public boolean heard(Heartbeat heartbeat, long now) {
        String name = heartbeat.router();
        if (name.equals(self) || isOld(heartbeat)) {
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
     * Suspects and removes members whose heartbeats are late.
     *
     * @param now The time.
     * @return The members removed, and whether others are newly suspected.
     */
    public MembershipChange expire(long now) {
        List<String> removed = new ArrayList<>();
        boolean suspected = false;
        for (Member member : List.copyOf(members.values())) {
            long silence = now - member.heardAt();
            if (silence >= parameters.removeMillis()) {
                members.remove(member.name());
                removed.add(member.name());
            } else if (silence >= parameters.suspectMillis()
                    && member.state() == MemberState.ALIVE) {
                suspected = true;
                members.put(
                        member.name(),
                        new Member(member.heartbeat(), member.heardAt(), MemberState.SUSPECTED));
            }
        }
        return new MembershipChange(removed, suspected);
    }

    /**
     * Returns the members other than this router.
     *
     * @return The members by name.
     */
    public Map<String, Member> others() {
        return new TreeMap<>(members);
    }

    /**
     * Finds a member other than this router.
     *
     * @param name The member's name.
     * @return The member.
     */
    public Optional<Member> find(String name) {
        return Optional.ofNullable(members.get(name));
    }

    /**
     * Returns the names of all members, this router included.
     *
     * @return The names.
     */
    public Set<String> names() {
        Set<String> names = new LinkedHashSet<>(members.keySet());
        names.add(self);
        return names;
    }

    /**
     * Returns the addresses of routers to call.
     *
     * @return The addresses by name, of those on the list and of members.
     */
    public Map<String, String> addresses() {
        Map<String, String> addresses = new LinkedHashMap<>(listed);
        for (Member member : members.values()) {
            addresses.put(member.name(), member.heartbeat().address());
        }
        return addresses;
    }

    /**
     * Returns the names of other routers on the platform's list.
     *
     * @return The names.
     */
    public Set<String> listedNames() {
        return Set.copyOf(listed.keySet());
    }

    /**
     * Returns whether a heartbeat is older than one heard before.
     *
     * @param heartbeat The heartbeat.
     * @return {@code true} if it is.
     */
    private boolean isOld(Heartbeat heartbeat) {
        long newest = incarnations.getOrDefault(heartbeat.router(), Long.MIN_VALUE);
        Member member = members.get(heartbeat.router());
        boolean sameLife =
                member != null && member.heartbeat().incarnation() == heartbeat.incarnation();
        return heartbeat.incarnation() < newest
                || (sameLife && heartbeat.sequence() <= member.heartbeat().sequence());
    }
}
