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

/** Answers {@code /services/NAME/…}. */
public final class ServiceEndpoint {

    /** The start of the path. */
    private static final String PREFIX = "/services/";

    /** Decides who may send what. */
    private final RequestAdmission admission;

    /** Names the caller's key of a request that must not run twice. */
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Brings requests to targets. */
    private final RequestDispatcher dispatcher;

    /** Lets requests with a key run at most once. */
    private final IdempotencyGuard guard;

    /** Gives the time. */
    private final LongSupplier clock;

    /** The largest body, in bytes. */
    private final int maxBodyBytes;

    /**
     * Creates an endpoint.
     *
     * @param admission Decides who may send what.
     * @param dispatcher Brings requests to targets.
     * @param guard Lets requests with a key run at most once.
     * @param clock Gives the time.
     * @param maxBodyBytes The largest body, in bytes.
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
     * Answers a request to a plain service.
     *
     * @param request The request.
     * @param id The request's id.
     * @return The answer.
     */
    Promise<RoutedResponse> serve(HttpRequest request, String id) {
        ActiveConfiguration active = admission.configuration();
        Organisation organisation = admission.authenticate(active, request);
        String rest = request.getPathAndQuery().substring(PREFIX.length());
        int end = nameEnd(rest);
        String name = rest.substring(0, end);
        Service service =
                active.service(name)
                        .orElseThrow(
                                () ->
                                        MartenwellException.of(
                                                ErrorKind.UNKNOWN_SERVICE,
                                                "No service is named '" + name + "'."));
        String path = rest.substring(end);
        return request.loadBody(maxBodyBytes)
                .map(ByteBuf::getArray)
                .then(body -> dispatch(active, organisation, service, request, path, body, id));
    }

    /**
     * Finds the end of the service's name.
     *
     * @param rest The path and query behind the prefix.
     * @return The index behind the name.
     */
    private static int nameEnd(String rest) {
        for (int index = 0; index < rest.length(); index++) {
            if (rest.charAt(index) == '/' || rest.charAt(index) == '?') {
                return index;
            }
        }
        return rest.length();
    }

    /**
     * Passes a request on.
     *
     * @param active The configuration in force.
     * @param organisation The organisation.
     * @param service The service.
     * @param request The request.
     * @param path The path and query behind the service's name.
     * @param body The body.
     * @param id The request's id.
     * @return The answer.
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
        TargetRequest message =
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
                        message,
                        organisation,
                        active.contract(organisation),
                        pool,
                        0,
                        false,
                        0,
                        service.costPerSecond());
        Optional<IdempotencyKey> key =
                HeaderFields.find(request, IDEMPOTENCY_KEY)
                        .filter(any -> !message.repeatable())
                        .map(text -> IdempotencyKey.of(text, clock.getAsLong()));
        return key.isPresent() ? guard.dispatch(routed, key.get()) : dispatcher.dispatch(routed);
    }
}
