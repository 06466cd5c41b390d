package org.martenwell.caller;

import io.activej.bytebuf.ByteBuf;
import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.martenwell.configuration.ActiveConfiguration;
import org.martenwell.configuration.Organisation;
import org.martenwell.configuration.Pool;
import org.martenwell.configuration.Service;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.http.HeaderFields;
import org.martenwell.once.IdempotencyKey;
import org.martenwell.router.IdempotencyGuard;
import org.martenwell.router.RequestDispatcher;
import org.martenwell.router.RoutedRequest;
import org.martenwell.router.RoutedResponse;
import org.martenwell.target.TargetRequest;

/** Serves plain services under {@code /services/NAME/}. */
public final class ServiceEndpoint {

    /** The path prefix of plain services. */
    private static final String PATH_PREFIX = "/services/";

    private final RequestAdmission admission;

    /** The request header with the key under which a request runs at most once. */
    private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

    private final RequestDispatcher dispatcher;

    private final IdempotencyGuard guard;

    private final LongSupplier clock;

    private final int maxBodyBytes;

    /**
     * Creates an endpoint.
     *
     * @param admission Authenticates callers and admits requests.
     * @param dispatcher Sends requests to targets.
     * @param guard Runs requests with an idempotency key at most once.
     * @param clock Supplies the current time in milliseconds.
     * @param maxBodyBytes The largest accepted body, in bytes.
     */
    public ServiceEndpoint(
            RequestAdmission admission,
            RequestDispatcher dispatcher,
            IdempotencyGuard guard,
            LongSupplier clock,
            int maxBodyBytes) {
        this.guard = guard;
        this.clock = clock;
        this.admission = admission;
        this.dispatcher = dispatcher;
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Authenticates a request to a plain service and sends it to a target.
     *
     * @param request The request.
     * @param id The request's id.
     * @return The target's response.
     */
    Promise<RoutedResponse> serve(HttpRequest request, String id) {
        ActiveConfiguration active = admission.configuration();
        Organisation organisation = admission.authenticate(active, request);
        String remainder = request.getPathAndQuery().substring(PATH_PREFIX.length());
        int end = endOfName(remainder);
        String name = remainder.substring(0, end);
        Service service =
                active.service(name)
                        .orElseThrow(
                                () ->
                                        MartenwellException.of(
                                                ErrorKind.UNKNOWN_SERVICE,
                                                "Unknown service '" + name + "'."));
        String path = remainder.substring(end);
        return request.loadBody(maxBodyBytes)
                .map(ByteBuf::getArray)
                .then(body -> dispatch(active, organisation, service, request, path, body, id));
    }

    private static int endOfName(String remainder) {
        for (int index = 0; index < remainder.length(); index++) {
            if (remainder.charAt(index) == '/' || remainder.charAt(index) == '?') {
                return index;
            }
        }
        return remainder.length();
    }

    /**
     * Admits a request and dispatches it. An idempotency key only matters if the service doesn't
     * allow the request to run twice.
     *
     * @param active The active configuration.
     * @param organisation The caller's organisation.
     * @param service The service.
     * @param request The request.
     * @param path The path and query after the service's name.
     * @param body The body.
     * @param id The request's id.
     * @return The target's response.
     */
    private Promise<RoutedResponse> dispatch(
            ActiveConfiguration active,
            Organisation organisation,
            Service service,
            HttpRequest request,
            String path,
            byte[] body,
            String id) {
        Pool pool = Pool.ofService(service.name());
        int priority = admission.admit(active, organisation, pool, request, body.length, id);
        String method = request.getMethod().name();
        TargetRequest targetRequest =
                new TargetRequest(
                        id,
                        method,
                        path.startsWith("/") ? path : "/" + path,
                        HeaderFields.forTarget(HeaderFields.read(request)),
                        body,
                        priority,
                        service.repeatability().allows(method),
                        service.timeoutMillis());
        RoutedRequest routed =
                new RoutedRequest(
                        targetRequest,
                        organisation,
                        active.contract(organisation),
                        pool,
                        0,
                        false,
                        0,
                        service.costPerSecond());
        Optional<IdempotencyKey> key =
                HeaderFields.find(request, IDEMPOTENCY_KEY_HEADER)
                        .filter(any -> !targetRequest.repeatable())
                        .map(text -> IdempotencyKey.of(text, clock.getAsLong()));
        return key.isPresent() ? guard.dispatch(routed, key.get()) : dispatcher.dispatch(routed);
    }
}
