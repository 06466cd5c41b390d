package org.martenwell.caller;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.reactor.Reactor;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.ZonedDateTime;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.admission.AdmissionControl;
import org.martenwell.configuration.ActiveConfiguration;
import org.martenwell.configuration.Contract;
import org.martenwell.configuration.Organisation;
import org.martenwell.configuration.Pool;
import org.martenwell.configuration.PoolKind;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.observe.LogEvent;
import org.martenwell.policy.PolicyInput;
import org.martenwell.policy.Verdict;

/** Decides whether a caller may send a request: readiness, key, policy and rate. */
public final class RequestAdmission {

    /** The log. */
    private static final Logger LOGGER = LogManager.getLogger(RequestAdmission.class);

    /** Starts the header that carries a key. */
    private static final String BEARER = "Bearer ";

    /** Gives the time. */
    private final Reactor reactor;

    /** Gives the configuration in force, or throws an exception if there is none. */
    private final Supplier<ActiveConfiguration> configuration;

    /** Bounds rates. */
    private final AdmissionControl control;

    /**
     * Creates an admission.
     *
     * @param reactor Gives the time.
     * @param configuration Gives the configuration in force, or throws an exception if the router
     *     takes no requests.
     * @param control Bounds rates.
     */
    public RequestAdmission(
            Reactor reactor,
            Supplier<ActiveConfiguration> configuration,
            AdmissionControl control) {
        this.reactor = reactor;
        this.configuration = configuration;
        this.control = control;
    }

    /**
     * Returns the configuration in force, or throws an exception if the router takes no requests.
     *
     * @return The configuration.
     */
    public ActiveConfiguration configuration() {
        return configuration.get();
    }

    /**
     * Finds the organisation of a caller's key, or throws an exception if it belongs to none.
     *
     * @param active The configuration in force.
     * @param request The request.
     * @return The organisation.
     */
    public Organisation authenticate(ActiveConfiguration active, HttpRequest request) {
        String header = request.getHeader(HttpHeaders.AUTHORIZATION);
        return Optional.ofNullable(header)
                .filter(value -> value.startsWith(BEARER))
                .map(value -> value.substring(BEARER.length()).strip())
                .flatMap(active::organisationOfKey)
                .orElseThrow(
                        () ->
                                MartenwellException.of(
                                        ErrorKind.UNAUTHENTICATED,
                                        "The key is missing or unknown."));
    }

    /**
     * Asks the policy, the rate limit and whether any target serves the pool, or throws an
     * exception that refuses the request.
     *
     * @param active The configuration in force.
     * @param organisation The organisation.
     * @param pool The pool asked for.
     * @param request The request.
     * @param bodyBytes The size of its body, in bytes.
     * @param id The request's id.
     * @return The priority.
     */
    public int admit(
            ActiveConfiguration active,
            Organisation organisation,
            Pool pool,
            HttpRequest request,
            int bodyBytes,
            String id) {
        Contract contract = active.contract(organisation);
        try {
            Verdict verdict =
                    active.policy(contract)
                            .decide(input(active, organisation, pool, request, bodyBytes));
            if (verdict.refusal().isPresent()) {
                throw MartenwellException.of(
                        ErrorKind.POLICY_REFUSED, verdict.refusal().orElseThrow());
            }
            control.admitRate(organisation.name(), contract, reactor.currentTimeMillis());
            requireTargets(active, pool);
            return verdict.priority();
        } catch (MartenwellException refusal) {
            LOGGER.info(
                    LogEvent.of("route")
                            .with("request", id)
                            .with("organisation", organisation.name())
                            .with("pool", pool.toString())
                            .with("verdict", refusal.kind().code())
                            .with("outcome", refusal.outcome().word())
                            .with("reason", refusal.getMessage())
                            .message());
            throw refusal;
        }
    }

    /**
     * Throws an exception if no target serves a pool.
     *
     * @param active The configuration in force.
     * @param pool The pool.
     */
    private static void requireTargets(ActiveConfiguration active, Pool pool) {
        if (active.targets(pool).isEmpty()) {
            throw MartenwellException.of(ErrorKind.NO_TARGET, "No target serves " + pool + " now.");
        }
    }

    /**
     * Collects what the policy may look at.
     *
     * @param active The configuration in force.
     * @param organisation The organisation.
     * @param pool The pool asked for.
     * @param request The request.
     * @param bodyBytes The size of its body, in bytes.
     * @return The input.
     */
    private PolicyInput input(
            ActiveConfiguration active,
            Organisation organisation,
            Pool pool,
            HttpRequest request,
            int bodyBytes) {
        Map<String, String> headers = new HashMap<>();
        for (String name : active.configuration().policyHeaders()) {
            String value = request.getHeader(HttpHeaders.of(name));
            if (value != null) {
                headers.put(name, value);
            }
        }
        ZonedDateTime now =
                Instant.ofEpochMilli(reactor.currentTimeMillis()).atZone(ZoneOffset.UTC);
        return new PolicyInput(
                organisation.name(),
                organisation.labels(),
                pool.kind() == PoolKind.MODEL ? pool.name() : "",
                pool.kind() == PoolKind.SERVICE ? pool.name() : "",
                request.getMethod().name(),
                bodyBytes,
                now.getHour() * 60 + now.getMinute(),
                now.getDayOfWeek().getValue(),
                headers);
    }
}
