package org.martenwell.router;

import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.json.Json;
import org.martenwell.target.TargetResponse;

/** Checks that the end of a target's response is known before it is passed on as complete. */
final class ResponseEnd {

    private ResponseEnd() {}

    /**
     * Fails with {@link ErrorKind#TARGET_FAILED} if a response may be truncated. Without framing,
     * only a JSON document shows that it is complete.
     *
     * @param response The response.
     * @param body Its body, as far as it arrived.
     */
    static void requireKnown(TargetResponse response, byte[] body) {
        if (response.framed()) {
            return;
        }
        try {
            Json.read(body);
        } catch (MartenwellException notJson) {
            throw MartenwellException.of(
                    ErrorKind.TARGET_FAILED,
                    "The response of the target ended with its connection and may be truncated.",
                    notJson);
        }
    }
}
