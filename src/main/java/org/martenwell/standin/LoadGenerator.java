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

/** Generates the load of several organisations concurrently and records the results. */
public final class LoadGenerator {

    /** In a load sent at a rate, requests numbered with multiples of this go to the service. */
    private static final int SERVICE_EVERY = 4;

    private final NioReactor reactor;

    private final LoadSettings settings;

    private final LoadClient client;

    private final Random random;

    /** The results since the end of the warm-up, by organisation. */
    private final Map<String, LoadTotals> totals = new LinkedHashMap<>();

    /**
     * The tokens received since the end of the warm-up, also of earlier requests, by organisation.
     */
    private final Map<String, Long> delivered = new LinkedHashMap<>();

    /** The results of requests sent during the warm-up. */
    private final LoadTotals warmUp = new LoadTotals();

    private long endTime;

    /** The end of the warm-up. */
    private long measureFrom;

    /** The sequence number of the last request. */
    private long number;

    /**
     * Creates a generator.
     *
     * @param reactor The event loop.
     * @param settings The load to generate.
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
     * Generates the load.
     *
     * @return Completes once all requests are finished.
     */
    public Promise<Void> run() {
        long now = reactor.currentTimeMillis();
        measureFrom = now + (long) (settings.warmUpSeconds() * 1000);
        endTime = measureFrom + (long) (settings.seconds() * 1000);
        return Promises.all(settings.organisations().stream().map(this::run));
    }

    /** {@return the results of requests sent after the warm-up, by organisation} */
    public Map<String, LoadTotals> totals() {
        return totals;
    }

    /**
     * {@return the tokens received since the end of the warm-up, also of earlier requests, by
     * organisation}
     */
    public Map<String, Long> delivered() {
        return Map.copyOf(delivered);
    }

    private void recordDelivered(String organisation, int count) {
        if (reactor.currentTimeMillis() >= measureFrom) {
            delivered.merge(organisation, (long) count, Long::sum);
        }
    }

    private Promise<Void> run(OrganisationLoad load) {
        if (!load.closedLoop()) {
            return sendAtRate(load);
        }
        Promise<?>[] workers = new Promise<?>[load.concurrency()];
        for (int index = 0; index < workers.length; index++) {
            workers[index] = sendSequentially(load);
        }
        return Promises.all(workers);
    }

    /** Sends requests sequentially until the end of the load. */
    private Promise<Void> sendSequentially(OrganisationLoad load) {
        return Promises.repeat(
                () -> {
                    if (reactor.currentTimeMillis() >= endTime) {
                        return Promise.of(false);
                    }
                    return send(load, false).then(this::waitBriefly).map(any -> true);
                });
    }

    /** Waits 1 to 10 ms, so that refused requests are not retried in a tight loop. */
    private Promise<Void> waitBriefly() {
        return Promises.delay(Duration.ofMillis(1 + random.nextInt(10)));
    }

    /**
     * Sends requests with exponentially distributed intervals, whether or not earlier ones are
     * finished.
     */
    private Promise<Void> sendAtRate(OrganisationLoad load) {
        List<Promise<Void>> sent = new ArrayList<>();
        return Promises.repeat(
                        () -> {
                            if (reactor.currentTimeMillis() >= endTime) {
                                return Promise.of(false);
                            }
                            sent.add(send(load, true));
                            return Promises.delay(drawInterval(load)).map(any -> true);
                        })
                .then(() -> Promises.all(sent));
    }

    private Duration drawInterval(OrganisationLoad load) {
        double millis = -Math.log(1 - random.nextDouble()) * 1000 / load.perSecond();
        return Duration.ofMillis(Math.max(1, (long) millis));
    }

    private Promise<Void> send(OrganisationLoad load, boolean withServices) {
        number++;
        String router = load.routers().get((int) (number % load.routers().size()));
        boolean measured = reactor.currentTimeMillis() >= measureFrom;
        LoadTotals results = measured ? totals.get(load.organisation()) : warmUp;
        if (withServices && load.service().isPresent() && number % SERVICE_EVERY == 0) {
            return client.sendServiceRequest(load, router, load.service().get(), results);
        }
        String prompt = "request " + number + " " + "x".repeat(load.promptBytes());
        return client.sendChat(
                load,
                router,
                prompt,
                results,
                count -> recordDelivered(load.organisation(), count));
    }
}
