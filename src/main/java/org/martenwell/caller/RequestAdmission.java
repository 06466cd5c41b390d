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

/** Authenticates callers and admits requests by policy, rate limit and available targets. */
public final class RequestAdmission {

    private static final Logger LOGGER = LogManager.getLogger(RequestAdmission.class);

    private static final String BEARER_PREFIX = "Bearer ";

    private final Reactor reactor;

    private final Supplier<ActiveConfiguration> configuration;

    private final AdmissionControl control;

    /**
     * Creates an admission.
     *
     * @param reactor The source of the current time.
     * @param configuration Supplies the active configuration; throws an exception if the router
     *     doesn't accept requests.
     * @param control Enforces the rate limits.
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
     * Returns the active configuration. Throws an exception of kind {@link ErrorKind#NOT_READY} or
     * {@link ErrorKind#DRAINING} if the router doesn't accept requests.
     *
     * @return The configuration.
     */
    public ActiveConfiguration configuration() {
        return configuration.get();
    }

    /**
     * Finds the organisation of a request's key. Throws an exception of kind {@link
     * ErrorKind#UNAUTHENTICATED} if the key is missing or unknown.
     *
     * @param active The active configuration.
     * @param request The request.
     * @return The organisation.
     */
    public Organisation authenticate(ActiveConfiguration active, HttpRequest request) {
        String header = request.getHeader(HttpHeaders.AUTHORIZATION);
        return Optional.ofNullable(header)
                .filter(value -> value.startsWith(BEARER_PREFIX))
                .map(value -> value.substring(BEARER_PREFIX.length()).strip())
                .flatMap(active::organisationOfKey)
                .orElseThrow(
                        () ->
                                MartenwellException.of(
                                        ErrorKind.UNAUTHENTICATED,
                                        "The API key is missing or unknown."));
    }

    /**
     * Admits a request. Throws an exception if the policy or the rate limit refuses it or no target
     * serves the pool. Refusals are logged.
     *
     * @param active The active configuration.
     * @param organisation The caller's organisation.
     * @param pool The requested pool.
     * @param request The request.
     * @param bodyBytes The size of its body, in bytes.
     * @param id The request's id.
     * @return The priority that the policy gave it.
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
                            .decide(policyInput(active, organisation, pool, request, bodyBytes));
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

    private static void requireTargets(ActiveConfiguration active, Pool pool) {
        if (active.targets(pool).isEmpty()) {
            throw MartenwellException.of(ErrorKind.NO_TARGET, "No target serves " + pool + ".");
        }
    }

    /**
     * Collects the attributes of a request that policies may read. The time of day is in minutes,
     * UTC.
     *
     * @param active The active configuration.
     * @param organisation The caller's organisation.
     * @param pool The requested pool.
     * @param request The request.
     * @param bodyBytes The size of its body, in bytes.
     * @return The attributes.
     */
    private PolicyInput policyInput(
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
