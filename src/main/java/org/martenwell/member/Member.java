package org.martenwell.member;

/**
 * A router as another one knows it.
 *
 * @param heartbeat Its last heartbeat.
 * @param heardAt When that arrived.
 * @param state What is known of it.
 */
public record Member(Heartbeat heartbeat, long heardAt, MemberState state) {

    /**
     * Returns the member's name.
     *
     * @return The name.
     */
    public String name() {
        return heartbeat.router();
    }
}
