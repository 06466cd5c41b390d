package org.martenwell.caller;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.bytebuf.ByteBuf;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.util.List;
import org.martenwell.configuration.ActiveConfiguration;
import org.martenwell.configuration.Model;
import org.martenwell.configuration.Organisation;
import org.martenwell.configuration.Pool;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.hash.RendezvousHash;
import org.martenwell.http.HeaderFields;
import org.martenwell.json.Json;
import org.martenwell.router.RequestDispatcher;
import org.martenwell.router.RoutedRequest;
import org.martenwell.router.RoutedResponse;
import org.martenwell.schedule.SchedulingParameters;
import org.martenwell.target.TargetRequest;

/** Serves the OpenAI-compatible paths for completions and the list of models. */
public final class ModelEndpoint {

    /**
     * The length of the prompt prefix that is hashed to find a target with a cached prompt, in
     * characters.
     */
    private static final int PREFIX_CHARACTERS = 512;

    /**
     * The timeout for the start of a streamed response or the end of any other, in milliseconds.
     */
    private static final long TIMEOUT_MILLIS = 600_000;

    private final RequestAdmission admission;

    private final RequestDispatcher dispatcher;

    private final int maxBodyBytes;

    /**
     * Creates an endpoint.
     *
     * @param admission Authenticates callers and admits requests.
     * @param dispatcher Sends requests to targets.
     * @param maxBodyBytes The largest accepted body, in bytes.
     */
    public ModelEndpoint(
            RequestAdmission admission, RequestDispatcher dispatcher, int maxBodyBytes) {
        this.admission = admission;
        this.dispatcher = dispatcher;
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Authenticates a request for a completion and sends it to a target.
     *
     * @param request The request.
     * @param id The request's id.
     * @return The target's response.
     */
    Promise<RoutedResponse> serve(HttpRequest request, String id) {
        ActiveConfiguration active = admission.configuration();
        Organisation organisation = admission.authenticate(active, request);
        return request.loadBody(maxBodyBytes)
                .map(ByteBuf::getArray)
                .then(body -> dispatch(active, organisation, request, body, id));
    }

    /**
     * Lists the configured models, also those that no target serves.
     *
     * @param request The request, which needs a valid key.
     * @param id The request's id.
     * @return The list, in OpenAI's format.
     */
    Promise<HttpResponse> list(HttpRequest request, String id) {
        ActiveConfiguration active = admission.configuration();
        admission.authenticate(active, request);
        List<ModelEntry> entries =
                active.configuration().models().stream()
                        .map(model -> ModelEntry.of(model.name()))
                        .toList();
        HttpResponse response =
                HttpResponse.ok200()
                        .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                        .withHeader(HttpHeaders.of(HeaderFields.REQUEST_ID), id)
                        .withBody(Json.write(new ModelList("list", entries)))
                        .build();
        return Promise.of(response);
    }

    private Promise<RoutedResponse> dispatch(
            ActiveConfiguration active,
            Organisation organisation,
            HttpRequest request,
            byte[] body,
            String id) {
        JsonNode root = Json.read(body);
        String name = root.path("model").asText("");
        Model model =
                active.model(name)
                        .orElseThrow(
                                () ->
                                        MartenwellException.of(
                                                ErrorKind.UNKNOWN_MODEL,
                                                "Unknown model '" + name + "'."));
        Pool pool = Pool.ofModel(name);
        int priority = admission.admit(active, organisation, pool, request, body.length, id);
        TargetRequest targetRequest =
                new TargetRequest(
                        id,
                        request.getMethod().name(),
                        request.getPathAndQuery(),
                        HeaderFields.forTarget(HeaderFields.read(request)),
                        body,
                        priority,
                        true,
                        TIMEOUT_MILLIS);
        return dispatcher.dispatch(
                new RoutedRequest(
                        targetRequest,
                        organisation,
                        active.contract(organisation),
                        pool,
                        prefixHash(organisation, root),
                        root.path("stream").asBoolean(false),
                        model.costPerToken(),
                        model.costPerToken() * SchedulingParameters.DEFAULTS.slotRate()));
    }

    /**
     * Hashes the organisation and the start of the prompt; equal prompts of two organisations have
     * different hashes.
     *
     * @param organisation The organisation.
     * @param root The request's body.
     * @return The hash.
     */
    private static long prefixHash(Organisation organisation, JsonNode root) {
        StringBuilder text = new StringBuilder(organisation.name()).append('\u0000');
        JsonNode prompt = root.has("messages") ? root.path("messages") : root.path("prompt");
        text.append(prompt.toString());
        text.setLength(Math.min(text.length(), PREFIX_CHARACTERS));
        return RendezvousHash.hash(text.toString());
    }
}
