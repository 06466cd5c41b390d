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

/** Answers the OpenAI-compatible paths. */
public final class ModelEndpoint {

    /** How much of a prompt's start decides which target likely holds it, in characters. */
    private static final int PREFIX_CHARACTERS = 512;

    /** How long an engine may take until its answer begins or, if not streamed, ends. */
    private static final long TIMEOUT_MILLIS = 600_000;

    /** Decides who may send what. */
    private final RequestAdmission admission;

    /** Brings requests to targets. */
    private final RequestDispatcher dispatcher;

    /** The largest body, in bytes. */
    private final int maxBodyBytes;

    /**
     * Creates an endpoint.
     *
     * @param admission Decides who may send what.
     * @param dispatcher Brings requests to targets.
     * @param maxBodyBytes The largest body, in bytes.
     */
    public ModelEndpoint(
            RequestAdmission admission, RequestDispatcher dispatcher, int maxBodyBytes) {
        this.admission = admission;
        this.dispatcher = dispatcher;
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Answers a completion.
     *
     * @param request The request.
     * @param id The request's id.
     * @return The answer.
     */
    Promise<RoutedResponse> serve(HttpRequest request, String id) {
        ActiveConfiguration active = admission.configuration();
        Organisation organisation = admission.authenticate(active, request);
        return request.loadBody(maxBodyBytes)
                .map(ByteBuf::getArray)
                .then(body -> dispatch(active, organisation, request, body, id));
    }

    /**
     * Lists the models.
     *
     * @param request The request.
     * @param id The request's id.
     * @return The response.
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

    /**
     * Checks a completion's body and passes it on.
     *
     * @param active The configuration in force.
     * @param organisation The organisation.
     * @param request The request.
     * @param body The body.
     * @param id The request's id.
     * @return The answer.
     */
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
                                                "No model is named '" + name + "'."));
        Pool pool = Pool.ofModel(name);
        int priority = admission.admit(active, organisation, pool, request, body.length, id);
        TargetRequest message =
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
                        message,
                        organisation,
                        active.contract(organisation),
                        pool,
                        prefix(organisation, root),
                        root.path("stream").asBoolean(false),
                        model.costPerToken(),
                        model.costPerToken() * SchedulingParameters.DEFAULTS.slotRate()));
    }

    /**
     * Hashes the organisation and the leading block of the prompt.
     *
     * @param organisation The organisation.
     * @param root The request's body.
     * @return The hash.
     */
    private static long prefix(Organisation organisation, JsonNode root) {
        StringBuilder text = new StringBuilder(organisation.name()).append('\u0000');
        JsonNode prompt = root.has("messages") ? root.path("messages") : root.path("prompt");
        text.append(prompt.toString());
        text.setLength(Math.min(text.length(), PREFIX_CHARACTERS));
        return RendezvousHash.hash(text.toString());
    }
}
