package org.martenwell.policy;

import java.util.Map;

/**
 * Properties of a request that a policy can read.
 *
 * @param organisation The organisation's name.
 * @param labels The organisation's labels.
 * @param model The requested model, empty for plain services.
 * @param service The requested plain service, empty for models.
 * @param method The HTTP method.
 * @param promptBytes The size of the request body, in bytes.
 * @param minuteOfDay The time of day in UTC, in minutes since midnight.
 * @param dayOfWeek The day of the week in UTC, from 1 (Monday) to 7 (Sunday).
 * @param headers The request headers exposed by the configuration, by name.
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

    /** {@return the value of each {@link PolicyVariable}, by its name in expressions} */
    Map<String, Object> variables() {
        return Map.of(
                PolicyVariable.ORGANISATION.variableName(), organisation,
                PolicyVariable.LABELS.variableName(), labels,
                PolicyVariable.MODEL.variableName(), model,
                PolicyVariable.SERVICE.variableName(), service,
                PolicyVariable.METHOD.variableName(), method,
                PolicyVariable.PROMPT_BYTES.variableName(), promptBytes,
                PolicyVariable.MINUTE_OF_DAY.variableName(), (long) minuteOfDay,
                PolicyVariable.DAY_OF_WEEK.variableName(), (long) dayOfWeek,
                PolicyVariable.HEADERS.variableName(), headers);
    }
}
