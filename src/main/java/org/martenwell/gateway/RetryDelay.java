package org.martenwell.gateway;

/** The delay after which a caller may retry a request that was refused. */
enum RetryDelay {

    /** A retry gains nothing, or its time isn't known. */
    NONE(0),

    /** There is no target or no capacity. */
    CAPACITY(0.4),

    /** The load balancer should send the retry to another gateway. */
    ELSEWHERE(0.05),

    /** The organisation exceeds its fair share. */
    SHARE(2),

    /** The request, or a part of its prompt, is suspected to crash targets. */
    SUSPECTED(1);

    private final double seconds;

    RetryDelay(double seconds) {
        this.seconds = seconds;
    }

    /** {@return the delay in seconds} */
    double seconds() {
        return seconds;
    }
}
