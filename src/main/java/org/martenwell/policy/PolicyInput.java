package org.martenwell.policy;

import java.util.Map;

/**
 * What a policy may look at.
 *
 * @param organisation The organisation's name.
 * @param labels The organisation's labels.
 * @param model The model asked for or an empty string.
 * @param service The plain service asked for or an empty string.
 * @param method The HTTP method.
 * @param promptBytes The size of the request's body, in bytes.
 * @param minuteOfDay The time of day in UTC, in minutes since midnight.
 * @param dayOfWeek The day of the week in UTC, from 1, Monday, to 7.
 * @param headers The request headers that the configuration names.
 */
public record PolicyInput(
        String organisation,
        Map<String, String> labels,
        String model,
        String service,
        String method,
        long promptBytes,
        int minuteOfDay,
        int dayOfWeek,
        Map<String, String> headers) {

    /**
     * Returns the values of the program's variables.
     *
     * @return The value of each variable of {@link PolicyVariable}.
     */
    Map<String, Object> variables() {
        return Map.of(
                PolicyVariable.ORGANISATION.variable(), organisation,
                PolicyVariable.LABELS.variable(), labels,
                PolicyVariable.MODEL.variable(), model,
                PolicyVariable.SERVICE.variable(), service,
                PolicyVariable.METHOD.variable(), method,
                PolicyVariable.PROMPT_BYTES.variable(), promptBytes,
                PolicyVariable.MINUTE_OF_DAY.variable(), (long) minuteOfDay,
                PolicyVariable.DAY_OF_WEEK.variable(), (long) dayOfWeek,
                PolicyVariable.HEADERS.variable(), headers);
    }
}
