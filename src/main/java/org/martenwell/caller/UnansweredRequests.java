package org.martenwell.caller;

import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/** The requests whose responses have not begun: those that arrive, wait or run. */
final class UnansweredRequests {

    /** The responses by the request's id. */
    private final Map<String, SettablePromise<HttpResponse>> responses = new HashMap<>();

    /** Creates an instance without requests. */
    UnansweredRequests() {}

    /**
     * Adds a request until its response is available.
     *
     * @param id The request's id.
     * @param response The response.
     * @return The same response, or that of {@link #respondAll} if it comes first.
     */
    Promise<HttpResponse> add(String id, Promise<HttpResponse> response) {
        SettablePromise<HttpResponse> first = new SettablePromise<>();
        responses.put(id, first);
        response.subscribe(
                (result, exception) -> {
                    if (responses.remove(id, first)) {
                        first.set(result, exception);
                    } else if (result != null) {
                        // Releases the target, whose response nobody reads.
                        result.takeBodyStream().close();
                    }
                });
        return first;
    }

    /**
     * Responds to all requests.
     *
     * @param source Returns the response to the request with an id.
     */
    void respondAll(Function<String, HttpResponse> source) {
        Map<String, SettablePromise<HttpResponse>> all = Map.copyOf(responses);
        responses.clear();
        all.forEach((id, response) -> response.set(source.apply(id)));
    }

    /** {@return the number of requests} */
    int count() {
        return responses.size();
    }
}
