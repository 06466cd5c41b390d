package org.martenwell.caller;

import com.fasterxml.uuid.Generators;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.router.RoutedResponse;
import org.martenwell.router.RouterMetrics;

/** Answers callers' requests: checks them, asks the policy, and passes admitted ones on. */
public final class CallerServlet implements AsyncServlet {

    /** The path under which plain services are. */
    private static final String SERVICES = "/services/";

    /** Checks the form of requests. */
    private final RequestChecker checker;

    /** Answers requests to models. */
    private final ModelEndpoint models;

    /** Answers requests to plain services. */
    private final ServiceEndpoint services;

    /** Counts what happens. */
    private final RouterMetrics metrics;

    /**
     * Creates a servlet.
     *
     * @param checker Checks the form of requests.
     * @param models Answers requests to models.
     * @param services Answers requests to plain services.
     * @param metrics Counts what happens.
     */
    public CallerServlet(
            RequestChecker checker,
            ModelEndpoint models,
            ServiceEndpoint services,
            RouterMetrics metrics) {
        this.checker = checker;
        this.models = models;
        this.services = services;
        this.metrics = metrics;
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) {
        String id = Generators.timeBasedEpochGenerator().generate().toString();
        Promise<HttpResponse> response;
        try {
            checker.check(request);
            response = route(request, id);
        } catch (MartenwellException refusal) {
            response = Promise.ofException(refusal);
        }
        return response.then(Promise::of, exception -> failed(exception, id));
    }

    /**
     * Answers a request by its path.
     *
     * @param request The request.
     * @param id The request's id.
     * @return The response.
     */
    private Promise<HttpResponse> route(HttpRequest request, String id) {
        String path = request.getPath();
        if (path.startsWith(SERVICES)) {
            return services.serve(request, id).map(answer -> responded(answer, id));
        }
        return switch (path) {
            case "/v1/chat/completions", "/v1/completions" -> {
                requireMethod(request, HttpMethod.POST);
                yield models.serve(request, id).map(answer -> responded(answer, id));
            }
            case "/v1/models" -> {
                requireMethod(request, HttpMethod.GET);
                yield models.list(request, id);
            }
            default ->
                    throw MartenwellException.of(
                            ErrorKind.UNKNOWN_PATH, "Nothing is at " + path + ".");
        };
    }

    /**
     * Throws an exception if a request has another method.
     *
     * @param request The request.
     * @param method The method that the path takes.
     */
    private static void requireMethod(HttpRequest request, HttpMethod method) {
        if (request.getMethod() != method) {
            throw MartenwellException.of(
                    ErrorKind.METHOD_NOT_ALLOWED, "This path takes " + method + ".");
        }
    }

    /**
     * Builds the response of a request that a target answers.
     *
     * @param answer The answer.
     * @param id The request's id.
     * @return The response.
     */
    private HttpResponse responded(RoutedResponse answer, String id) {
        metrics.responded();
        return CallerResponses.of(answer, id);
    }

    /**
     * Builds the response of a request that failed.
     *
     * @param exception Why.
     * @param id The request's id.
     * @return The response.
     */
    private Promise<HttpResponse> failed(Exception exception, String id) {
        MartenwellException failure = CallerResponses.failure(exception);
        metrics.failed(failure.kind());
        return Promise.of(CallerResponses.of(failure, id));
    }
}
