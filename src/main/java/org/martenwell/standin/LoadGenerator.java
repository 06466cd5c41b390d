package org.martenwell.standin;

import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.nio.NioReactor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Sends the load of several organisations at once. */
public final class LoadGenerator {

    /** Every how many requests a plain service is asked. */
    private static final int SERVICE_EVERY = 4;

    /** The loop. */
    private final NioReactor reactor;

    /** What to send. */
    private final LoadSettings settings;

    /** Sends requests. */
    private final LoadClient client;

    /** Draws gaps between requests. */
    private final Random random;

    /** What became of it since the warm-up, by organisation. */
    private final Map<String, LoadTotals> totals = new LinkedHashMap<>();

    /** The tokens that arrived since the warm-up, whenever their request was sent. */
    private final Map<String, Long> delivered = new LinkedHashMap<>();

    /** What became of it before. */
    private final LoadTotals warmUp = new LoadTotals();

    /** When to stop sending. */
    private long endAt;

    /** From when on to count. */
    private long countFrom;

    /** The number of the next request. */
    private long number;

    /**
     * Creates a generator that sends nothing yet.
     *
     * @param reactor The loop.
     * @param settings What to send.
     */
    public LoadGenerator(NioReactor reactor, LoadSettings settings) {
        this.reactor = reactor;
        this.settings = settings;
        this.client = new LoadClient(reactor);
        this.random = new Random(settings.seed());
        for (OrganisationLoad each : settings.organisations()) {
            totals.put(each.organisation(), new LoadTotals());
            delivered.put(each.organisation(), 0L);
        }
    }

    /**
     * Sends the load.
     *
     * @return Completes once all is sent and answered.
     */
    public Promise<Void> run() {
        long now = reactor.currentTimeMillis();
        countFrom = now + (long) (settings.warmUpSeconds() * 1000);
        endAt = countFrom + (long) (settings.seconds() * 1000);
        return Promises.all(settings.organisations().stream().map(this::run));
    }

    /**
     * Returns what became of the load since the warm-up.
     *
     * @return The totals by organisation.
     */
    public Map<String, LoadTotals> totals() {
        return totals;
    }

    /**
     * Returns the tokens that arrived since the warm-up, whenever their request was sent.
     *
     * @return The tokens by organisation.
     */
    public Map<String, Long> delivered() {
        return Map.copyOf(delivered);
    }

    /**
     * Counts tokens that arrived.
     *
     * @param organisation Whose they are.
     * @param count How many.
     */
    private void deliver(String organisation, int count) {
        if (reactor.currentTimeMillis() >= countFrom) {
            delivered.merge(organisation, (long) count, Long::sum);
        }
    }

    /**
     * Sends the load of one organisation.
     *
     * @param load The load.
     * @return Completes once all is sent and answered.
     */
    private Promise<Void> run(OrganisationLoad load) {
        if (!load.closedLoop()) {
            return sendAtRate(load);
        }
        Promise<?>[] workers = new Promise<?>[load.concurrency()];
        for (int index = 0; index < workers.length; index++) {
            workers[index] = sendOneByOne(load);
        }
        return Promises.all(workers);
    }

    /**
     * Sends one request after the other.
     *
     * @param load The load.
     * @return Completes once all is sent and answered.
     */
    private Promise<Void> sendOneByOne(OrganisationLoad load) {
        return Promises.repeat(
                () -> {
                    if (reactor.currentTimeMillis() >= endAt) {
                        return Promise.of(false);
                    }
                    return send(load, false).then(this::pause).map(any -> true);
                });
    }

    /**
     * Waits a moment, so that a refusal is not followed by a storm.
     *
     * @return Completes after the moment.
     */
    private Promise<Void> pause() {
        return Promises.delay(Duration.ofMillis(1 + random.nextInt(10)));
    }

    /**
     * Sends requests at a rate, with exponential gaps.
     *
     * @param load The load.
     * @return Completes once all is sent and answered.
     */
    private Promise<Void> sendAtRate(OrganisationLoad load) {
        List<Promise<Void>> sent = new ArrayList<>();
        return Promises.repeat(
                        () -> {
                            if (reactor.currentTimeMillis() >= endAt) {
                                return Promise.of(false);
                            }
                            sent.add(send(load, true));
                            return Promises.delay(gap(load)).map(any -> true);
                        })
                .then(() -> Promises.all(sent));
    }

    /**
     * Draws an exponential gap between two requests.
     *
     * @param load The load.
     * @return The gap.
     */
    private Duration gap(OrganisationLoad load) {
        double millis = -Math.log(1 - random.nextDouble()) * 1000 / load.perSecond();
        return Duration.ofMillis(Math.max(1, (long) millis));
    }

    /**
     * Sends one request.
     *
     * @param load The load.
     * @param mixed {@code true} to ask the plain service now and then.
     * @return Completes once it is answered.
     */
    private Promise<Void> send(OrganisationLoad load, boolean mixed) {
        number++;
        String router = load.routers().get((int) (number % load.routers().size()));
        boolean counted = reactor.currentTimeMillis() >= countFrom;
        LoadTotals into = counted ? totals.get(load.organisation()) : warmUp;
        if (mixed && load.service().isPresent() && number % SERVICE_EVERY == 0) {
            return client.askService(load, router, load.service().get(), into);
        }
        String prompt = "request " + number + " " + "x".repeat(load.promptBytes());
        return client.askModel(
                load, router, prompt, into, count -> deliver(load.organisation(), count));
    }
}
