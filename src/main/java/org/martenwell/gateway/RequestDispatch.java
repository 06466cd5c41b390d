package org.martenwell.gateway;

import io.activej.reactor.schedule.ScheduledRunnable;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.martenwell.balance.EngineChoice;
import org.martenwell.balance.PromptNeed;
import org.martenwell.balance.RunningRequest;
import org.martenwell.balance.TargetLoad;
import org.martenwell.error.ErrorKind;
import org.martenwell.exchange.AnswerFailure;
import org.martenwell.exchange.CallerExchange;
import org.martenwell.exchange.TargetRequestHead;
import org.martenwell.prompt.PromptChain;
import org.martenwell.quarantine.Fingerprint;
import org.martenwell.route.EngineCapacity;
import org.martenwell.route.GatewayConfiguration;
import org.martenwell.route.OrganisationConfiguration;
import org.martenwell.route.Route;
import org.martenwell.route.ServiceConfiguration;
import org.martenwell.share.ShareUse;

/**
 * The life of one request: it finds its route, waits for room, is sent, perhaps again, and is
 * answered. Only a request of which no target may have run anything is answered as not run.
 */
final class RequestDispatch {

    /** How long a target that says it is full gets no requests, in milliseconds. */
    private static final long FULL_MILLIS = 150;

    /** How long a target that turned out to be another one gets no requests, in milliseconds. */
    private static final long OTHER_MILLIS = 5_000;

    /** The cause of an attempt that ended because its target was silent. */
    private static final String SILENT = "silent";

    /** When a caller may come back after it found no room, in seconds. */
    private static final double RETRY_SOON_SECONDS = 0.4;

    /** When a caller may come back to another gateway, in seconds. */
    private static final double RETRY_ELSEWHERE_SECONDS = 0.05;

    /** When a caller beyond its fair share may come back, in seconds. */
    private static final double RETRY_SHARE_SECONDS = 2;

    /** When a caller may come back whose request may have ended targets, in seconds. */
    private static final double RETRY_UNDECIDED_SECONDS = 1;

    /** How many milliseconds a second has. */
    private static final double SECOND_MILLIS = 1_000;

    /** The first status that says that the target failed. */
    private static final int FIRST_FAILURE_STATUS = 500;

    /** The first status that is no success. */
    private static final int FIRST_NO_SUCCESS = 300;

    /** The statuses that promise that a request did not run. */
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    /** The status of a target that is another one than was meant. */
    private static final int MISDIRECTED = 421;

    /** What all requests share. */
    private final GatewayCore core;

    /** The request and its answer. */
    private final CallerExchange exchange;

    /** What the caller states. */
    private final RequestFacts facts;

    /** When the request arrived, in milliseconds. */
    private final long arrivedMillis;

    /** The route or {@code null} until it is found. */
    private Route route;

    /** What makes the request the same one when it comes again, once the route is known. */
    private RequestIdentity identity;

    /** The service that serves the request. */
    private String service = "";

    /** The caller's organisation. */
    private Optional<String> organisation = Optional.empty();

    /** Decides between model engines; empty for a plain service. */
    private Optional<EngineRouting> engines = Optional.empty();

    /** Notices targets that send nothing, once the route is known. */
    private SilenceWatch silence;

    /** When the request is given up, in milliseconds. */
    private long deadlineMillis;

    /** Ends the request at its deadline. */
    private ScheduledRunnable timer;

    /** To which targets the request was sent. */
    private final SendHistory history = new SendHistory();

    /** The present attempt or {@code null}. */
    private SendAttempt attempt;

    /** Hands answers on to the caller. */
    private final AnswerRelay relay;

    /** Gives the caller the gateway's own answers. */
    private final OwnAnswers ownAnswers;

    /** Whether the request is over. */
    private boolean over;

    /**
     * Creates a request's life.
     *
     * @param core What all requests share.
     * @param exchange The request and its answer.
     */
    RequestDispatch(GatewayCore core, CallerExchange exchange) {
        this.core = core;
        this.exchange = exchange;
        this.facts = core.dialect().read(exchange.request().headers());
        this.arrivedMillis = exchange.request().arrivedMillis();
        this.relay = new AnswerRelay(core, exchange);
        this.ownAnswers = new OwnAnswers(core, exchange, facts);
    }

    /** Begins to serve the request. */
    void start() {
        core.begin();
        Optional<GatewayConfiguration> configuration = core.configuration();
        if (core.closing()) {
            answer(ErrorKind.DRAINING, RETRY_ELSEWHERE_SECONDS);
            return;
        }
        if (core.heap().nearlyFull() || core.pressure().refuses()) {
            answer(ErrorKind.ROUTER_FULL, RETRY_ELSEWHERE_SECONDS);
            return;
        }
        if (configuration.isEmpty()) {
            answer(ErrorKind.NOT_READY, RETRY_SOON_SECONDS);
            return;
        }
        Optional<Route> found = core.routes().find(facts.host(), exchange.request().path());
        if (found.isEmpty()) {
            answer(ErrorKind.UNKNOWN_PATH, 0);
            return;
        }
        route = found.get();
        if (configuration.get().apiKeysRequired() && !route.anonymous()) {
            organisation =
                    facts.key()
                            .map(configuration.get().keys()::get)
                            .map(OrganisationConfiguration::name);
            if (organisation.isEmpty()) {
                answer(ErrorKind.UNAUTHENTICATED, 0);
                return;
            }
        }
        accept(configuration.get());
    }

    /**
     * Takes the request in.
     *
     * @param configuration The configuration.
     */
    private void accept(GatewayConfiguration configuration) {
        long held = Math.min(route.timeoutMillis(), facts.waitMillis().orElse(Long.MAX_VALUE));
        deadlineMillis = arrivedMillis + held;
        exchange.onLeave(this::left);
        timer = core.reactor().delayBackground(Math.max(1, leftMillis()), this::timedOut);
        silence = new SilenceWatch(core, route, this::silent);
        identity =
                new RequestIdentity(
                        core.fingerprints(), exchange.request(), route, organisation.orElse(""));
        service = route.service(core.random());
        core.harmful().begin(this);
        engines = engineRouting(configuration);
        engines.ifPresent(EngineRouting::asked);
        trySend();
    }

    /**
     * Finds out whether the request goes to model engines and what it needs of them.
     *
     * @param configuration The configuration.
     * @return How it is routed or empty for a plain service.
     */
    private Optional<EngineRouting> engineRouting(GatewayConfiguration configuration) {
        Optional<EngineCapacity> terms =
                configuration.service(service).flatMap(ServiceConfiguration::engine);
        if (terms.isEmpty() || facts.generation().isEmpty()) {
            return Optional.empty();
        }
        GenerationFacts generation = facts.generation().get();
        PromptNeed need =
                new PromptNeed(
                        organisation.orElse(""),
                        PromptChain.of(generation.model(), generation.parts()),
                        generation.promptTokens(),
                        generation.answerTokens(),
                        route.objectiveMillis(),
                        arrivedMillis);
        return Optional.of(new EngineRouting(core, need, terms.get(), service));
    }

    /**
     * Returns how much of its fair shares the organisation has used.
     *
     * @return What it has used.
     */
    ShareUse shareUse() {
        return engines.map(EngineRouting::use).orElse(ShareUse.NONE);
    }

    /** Tries to send a request that waits for room. */
    void tryAgain() {
        trySend();
    }

    /**
     * Tells whether an answer belongs to the request.
     *
     * @param answer The answer's head.
     * @return {@code true} if it does.
     */
    boolean belongs(HttpResponse answer) {
        return core.dialect().belongs(answer, facts);
    }

    /** Sends the request if there is room, else lets it wait or refuses it. */
    private void trySend() {
        Optional<ErrorKind> refusal = core.harmful().refusal(identity);
        if (refusal.isPresent()) {
            giveUp(refusal.get(), RETRY_UNDECIDED_SECONDS);
            return;
        }
        long now = core.now();
        List<TargetLoad> open = core.targets().open(service, history.tried(), now);
        if (open.isEmpty() && !history.tried().isEmpty() && route.repeatable()) {
            open = core.targets().open(service, Set.of(), now);
        }
        if (open.isEmpty()) {
            giveUp(ErrorKind.NO_TARGET, noTargetSeconds(now));
        } else if (engines.isEmpty()) {
            core.services().choose(open, now).ifPresent(this::sendPlain);
        } else {
            sendToEngine(engines.get(), open);
        }
    }

    /**
     * Returns when a caller may come back who found no target open.
     *
     * @param now The present time, in milliseconds.
     * @return The time until the first rest of a target ends, in seconds, if any rests.
     */
    private double noTargetSeconds(long now) {
        OptionalLong rest = core.targets().firstRestMillis(service, now);
        return rest.isPresent()
                ? Math.max(RETRY_SOON_SECONDS, rest.getAsLong() / SECOND_MILLIS)
                : RETRY_SOON_SECONDS;
    }

    /**
     * Sends the request to an engine, lets it wait, or gives it up.
     *
     * @param routing Decides between engines.
     * @param open The engines.
     */
    private void sendToEngine(EngineRouting routing, List<TargetLoad> open) {
        EngineRouting.Decision decision = routing.decide(open, history.attempts(), route);
        core.queue().remove(this);
        if (decision.choice().isPresent()) {
            sendChosen(routing, decision.choice().get(), decision.use());
        } else if (decision.refusal().isPresent()) {
            ErrorKind kind = decision.refusal().get();
            boolean share = kind == ErrorKind.RATE_EXCEEDED;
            giveUp(kind, share ? RETRY_SHARE_SECONDS : RETRY_SOON_SECONDS);
        } else {
            core.queue().add(this);
        }
    }

    /**
     * Sends the request to an engine.
     *
     * @param routing What the request needs of it.
     * @param choice The engine and why it was chosen.
     * @param use How much of its fair shares the organisation has used.
     */
    private void sendChosen(EngineRouting routing, EngineChoice choice, ShareUse use) {
        core.log().sent(requestId(), choice, history.attempts() + 1, routing.organisation(), use);
        RunningRequest running = routing.running(choice);
        routing.sent(choice);
        send(choice.load(), running, choice.copyFrom());
    }

    /**
     * Sends the request to a target of a plain service.
     *
     * @param load The target.
     */
    private void sendPlain(TargetLoad load) {
        core.log().sent(requestId(), load.target().id(), history.attempts() + 1);
        send(load, new RunningRequest(0, 0, core.now(), 0), Optional.empty());
    }

    /**
     * Sends the request to a target.
     *
     * @param load The target.
     * @param running What the request puts on it.
     * @param copyFrom The target that hands over parts of the prompt, if one does.
     */
    private void send(TargetLoad load, RunningRequest running, Optional<TargetLoad> copyFrom) {
        String id = load.target().id();
        Optional<KnownTarget> target = core.targets().find(id);
        if (target.isEmpty()) {
            giveUp(ErrorKind.NO_TARGET, RETRY_SOON_SECONDS);
            return;
        }
        if (history.begin(id)) {
            core.countFirstAttempt();
        }
        attempt = new SendAttempt(this, target.get(), running);
        relay.expect(attempt);
        silence.watch(attempt);
        attempt.send(
                new TargetRequestHead(
                        exchange.request().method(),
                        exchange.request().target(),
                        targetHeaders(id, copyFrom),
                        exchange.request().body()));
    }

    /**
     * Gives a target that sends nothing a bad mark. A request that may run again goes elsewhere.
     *
     * @param silentAttempt The attempt.
     */
    private void silent(SendAttempt silentAttempt) {
        silentAttempt.target().load().health().failed(core.now());
        if (route.repeatable() && mayRetry()) {
            core.log().attemptFailed(requestId(), targetId(silentAttempt), SILENT);
            history.ran();
            cancelAttempt();
            trySend();
        }
    }

    /**
     * Writes the headers for a target.
     *
     * @param id The target's id.
     * @param copyFrom The target that hands over parts of the prompt, if one does.
     * @return The headers.
     */
    private HttpHeaders targetHeaders(String id, Optional<TargetLoad> copyFrom) {
        return core.dialect()
                .forTarget(
                        exchange.request().headers(),
                        new SendFacts(
                                id,
                                facts.waitMillis().map(told -> Math.max(1, leftMillis())),
                                organisation,
                                relay.lastEventId().or(facts::lastEventId),
                                copyFrom.map(each -> each.target().address())));
    }

    /**
     * Takes the head of an answer.
     *
     * @param from The attempt.
     * @param answer The head.
     */
    void answerBegun(SendAttempt from, HttpResponse answer) {
        if (core.dialect().notRun(answer)) {
            from.release();
            attempt = null;
            refusedByTarget(from, answer.status().code());
        } else if (!core.dialect().genuine(answer) && answer.status().code() < FIRST_NO_SUCCESS) {
            from.cancel();
            attemptFailed(from, AnswerFailure.MALFORMED);
        } else if (!relay.begin(answer, route)) {
            from.cancel();
            abort();
        }
    }

    /**
     * Notes that the first piece of an answer arrived.
     *
     * @param from The attempt.
     */
    void firstPiece(SendAttempt from) {
        core.log().firstPiece(held());
        if (relay.streaming()) {
            engines.ifPresent(routing -> routing.begun(from.running()));
        }
    }

    /**
     * Takes a piece of an answer.
     *
     * @param piece The piece.
     */
    void answerReceived(byte[] piece) {
        relay.receive(piece, route.resumable());
    }

    /**
     * Notes that a whole answer arrived.
     *
     * @param from The attempt.
     */
    void answerEnded(SendAttempt from) {
        attempt = null;
        int status = relay.status();
        boolean failure = status >= FIRST_FAILURE_STATUS;
        if (failure) {
            from.target().load().health().failed(core.now());
        } else {
            from.target().load().health().succeeded(core.now());
        }
        if (failure && route.repeatable() && mayRetry()) {
            history.ran();
            trySend();
        } else if (PROMISES.contains(status)) {
            history.ran();
            giveUp(ErrorKind.TARGET_FAILED, 0);
        } else {
            if (relay.framed() && !failure) {
                core.harmful().served(identity);
            }
            relay.end();
            core.log().ended(requestId(), status, history.attempts(), held());
            finish();
        }
    }

    /**
     * Notes that a target did not run the request.
     *
     * @param from The attempt.
     * @param status The status of its answer.
     */
    private void refusedByTarget(SendAttempt from, int status) {
        boolean other = status == MISDIRECTED;
        core.log().attemptFailed(requestId(), targetId(from), other ? "other" : "full");
        engines.ifPresent(EngineRouting::notRead);
        if (other) {
            core.harmful().targetEnded(from.target());
        }
        from.target().load().health().close(core.now(), other ? OTHER_MILLIS : FULL_MILLIS);
        if (mayRetry()) {
            trySend();
        } else {
            giveUp(ErrorKind.TARGET_REFUSED, RETRY_SOON_SECONDS);
        }
    }

    /**
     * Notes that an attempt failed.
     *
     * @param from The attempt.
     * @param failure What happened.
     */
    void attemptFailed(SendAttempt from, AnswerFailure failure) {
        attempt = null;
        engines.ifPresent(EngineRouting::notRead);
        if (!failure.sent()) {
            core.log().attemptFailed(requestId(), targetId(from), failure.name());
            from.target().load().health().notReached(core.now());
            if (failure == AnswerFailure.REFUSED) {
                core.harmful().targetEnded(from.target());
            }
            retryUnreachable();
            return;
        }
        core.log()
                .attemptBroken(
                        requestId(),
                        from.target().load().target().life(),
                        failure.name(),
                        identity.fingerprint());
        from.target().load().health().failed(core.now());
        history.ran();
        boolean resumable = !exchange.begun() || route.resumable();
        if (route.repeatable() && resumable) {
            core.harmful().broken(from.target(), identity, this::repeat);
        } else {
            core.harmful().broken(from.target(), identity, () -> {});
            giveUp(ErrorKind.TARGET_FAILED, 0);
        }
    }

    /**
     * Notes that a target wanted nothing more by the time at which the request could be sent.
     *
     * @param from The attempt.
     */
    void targetClosed(SendAttempt from) {
        attempt = null;
        engines.ifPresent(EngineRouting::notRead);
        core.log().attemptFailed(requestId(), targetId(from), "closed");
        history.notSent();
        trySend();
    }

    /** Sends the request once more behind an attempt that broke off, if it may be sent. */
    private void repeat() {
        if (over) {
            return;
        }
        if (mayRetry()) {
            trySend();
        } else {
            giveUp(ErrorKind.TARGET_FAILED, 0);
        }
    }

    /**
     * Stops the request if it is one that is held back from now on.
     *
     * @param fingerprint What is held back.
     */
    void stopIfHeld(Fingerprint fingerprint) {
        if (identity.scope() == fingerprint.scope() && identity.fingerprint().equals(fingerprint)) {
            cancelAttempt();
            giveUp(ErrorKind.ENDS_TARGETS, 0);
        }
    }

    /** Tries another target behind one that was not reachable, since nothing was sent. */
    private void retryUnreachable() {
        history.notReached();
        if (history.mayTryFurther() && leftMillis() > 0) {
            trySend();
        } else {
            giveUp(ErrorKind.NO_TARGET, RETRY_SOON_SECONDS);
        }
    }

    /**
     * Takes another attempt, if there may be one.
     *
     * @return {@code true} if the request may be sent again.
     */
    private boolean mayRetry() {
        return history.attempts() < route.maxAttempts() && leftMillis() > 0 && core.takeRetry();
    }

    /** Ends the request at its deadline. */
    private void timedOut() {
        if (over) {
            return;
        }
        cancelAttempt();
        boolean never = history.attempts() == 0;
        giveUp(never ? ErrorKind.WAIT_TOO_LONG : ErrorKind.TARGET_TIMEOUT, 0);
    }

    /** Ends the request because the caller left. */
    private void left() {
        if (over) {
            return;
        }
        logFailure(ErrorKind.CALLER_LEFT);
        cancelAttempt();
        finish();
    }

    /** Lets the target stop its work. */
    private void cancelAttempt() {
        if (attempt != null) {
            core.harmful().givenUp(attempt.target(), identity);
            attempt.cancel();
            attempt = null;
        }
    }

    /**
     * Ends the request without a target's answer. What may have run is never answered as not run.
     *
     * @param kind The kind of the answer if nothing ran.
     * @param retrySeconds When the caller may come back, in seconds, or 0.
     */
    private void giveUp(ErrorKind kind, double retrySeconds) {
        if (exchange.begun()) {
            logFailure(ErrorKind.STREAM_BROKEN);
            abort();
        } else if (history.mayHaveRun() && PROMISES.contains(kind.status())) {
            answer(ErrorKind.TARGET_FAILED, 0);
        } else {
            answer(kind, retrySeconds);
        }
    }

    /** Ends the request by closing the caller's connection. */
    private void abort() {
        exchange.abort();
        finish();
    }

    /**
     * Answers the request with an answer of the gateway's own.
     *
     * @param kind The kind of the answer.
     * @param retrySeconds When the caller may come back, in seconds, or 0.
     */
    private void answer(ErrorKind kind, double retrySeconds) {
        logFailure(kind);
        ownAnswers.give(kind, retrySeconds);
        finish();
    }

    /**
     * Logs that the request ends without a target's answer.
     *
     * @param kind Why.
     */
    private void logFailure(ErrorKind kind) {
        core.log()
                .failed(
                        requestId(),
                        kind,
                        routeName(),
                        organisation.orElse(""),
                        history.attempts(),
                        held());
    }

    /** Frees what the request holds. */
    private void finish() {
        if (!over) {
            over = true;
            core.end();
            core.queue().remove(this);
            core.harmful().end(this);
            if (timer != null) {
                timer.cancel();
            }
        }
    }

    /**
     * Returns the present time.
     *
     * @return The time in milliseconds.
     */
    long now() {
        return core.now();
    }

    /**
     * Returns how long the request may still be held.
     *
     * @return The time in milliseconds, negative behind its deadline.
     */
    private long leftMillis() {
        return deadlineMillis - core.now();
    }

    /**
     * Returns how long the request was held.
     *
     * @return The time in milliseconds.
     */
    private long held() {
        return core.now() - arrivedMillis;
    }

    /**
     * Returns the route's name.
     *
     * @return The name or an empty text.
     */
    private String routeName() {
        return route == null ? "" : route.name();
    }

    /**
     * Returns the id of the caller's attempt.
     *
     * @return The id or an empty text.
     */
    private String requestId() {
        return facts.requestId().orElse("");
    }

    /**
     * Returns the id of an attempt's target.
     *
     * @param of The attempt.
     * @return The id.
     */
    private static String targetId(SendAttempt of) {
        return of.target().load().target().id();
    }
}
