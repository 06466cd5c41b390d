package org.martenwell.gateway;

import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.martenwell.admission.ContinuationGrants;
import org.martenwell.balance.TargetLoad;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.route.GatewayConfiguration;
import org.martenwell.route.Route;
import org.martenwell.version.ServiceVersion;
import org.martenwell.version.StreamOrigin;
import org.martenwell.version.VersionHistory;

/**
 * Finds the version at which a stream began, so that only a target of that version continues it.
 * While a service has several versions, peers are notified of each new stream. Otherwise nothing is
 * sent: the only version that was listed while the stream may have begun is the one that began it.
 */
final class StreamVersions {

    /** The least time for which origins are retained, in milliseconds. */
    private static final long MIN_RETENTION_MILLIS = 15_000;

    /**
     * The time after the end of an attempt in which its caller may resume the stream, in
     * milliseconds.
     */
    private static final long RESUME_MARGIN_MILLIS = 5_000;

    /** The most rounds for which a request waits for the responses of peers. */
    private static final int MAX_ROUNDS = 10;

    /** The part of the time to a request's deadline that one round is allowed for. */
    private static final long DEADLINE_MILLIS_PER_ROUND = 200;

    /** The least interval of lists of the targets on request, in milliseconds. */
    private static final long REFRESH_INTERVAL_MILLIS = 250;

    /** The time after which a list is requested anew, since a refresh abandons it. */
    private static final long REFRESH_TIMEOUT_MILLIS = 1_000;

    private final NioReactor reactor;

    private final StreamRetention retention = new StreamRetention(MIN_RETENTION_MILLIS);

    private final KnownOrigins known = new KnownOrigins(MIN_RETENTION_MILLIS);

    private final VersionWindow window = new VersionWindow(MIN_RETENTION_MILLIS);

    private final ContinuationGrants grants = new ContinuationGrants(MIN_RETENTION_MILLIS);

    private final OriginNotices notices = new OriginNotices(known, window);

    private OriginPeers peers = new NoPeers();

    private final OriginInquiries inquiries;

    private final StoredOrigins stored;

    private final VersionRecords records;

    /** The time of the last request to read the targets again, in milliseconds. */
    private long refreshedMillis = Long.MIN_VALUE / 2;

    /** Set while a request to read the targets again is scheduled. */
    private boolean refreshScheduled;

    /**
     * Creates an instance without peers that knows no versions.
     *
     * @param reactor The event loop.
     */
    StreamVersions(NioReactor reactor) {
        this.reactor = reactor;
        this.inquiries = new OriginInquiries(reactor, peers);
        this.stored = new StoredOrigins(reactor, known, window);
        this.records = new VersionRecords(reactor, window, stored, peers);
    }

    /**
     * Sets the peers; called once before the start.
     *
     * @param sources The peers.
     */
    void peers(OriginPeers sources) {
        peers = sources;
        inquiries.peers(sources);
        records.start(sources, inquiries::resolve);
    }

    /**
     * Sets the storage of origins for the case that all gateways are lost; called at most once,
     * before the start.
     *
     * @param storage The storage.
     */
    void storage(OriginStorage storage) {
        stored.storage(storage);
    }

    /**
     * Adapts the retention to the longest time that a stream may last.
     *
     * @param configuration The active configuration.
     */
    void configure(GatewayConfiguration configuration) {
        long retentionMillis =
                configuration.routes().stream()
                                .filter(Route::resumable)
                                .mapToLong(Route::timeoutMillis)
                                .reduce(MIN_RETENTION_MILLIS, Math::max)
                        + RESUME_MARGIN_MILLIS;
        retention.configure(retentionMillis, now());
        applyRetention();
    }

    private void applyRetention() {
        known.retain(retention.millis(now()));
        window.retain(retention.millis(now()));
        grants.retain(retention.millis(now()));
    }

    /**
     * Replaces the targets of the directory.
     *
     * @param targets All targets, draining ones included.
     * @param asOfMillis The time as of which they are current, in milliseconds.
     */
    void list(Collection<DirectoryTarget> targets, long asOfMillis) {
        applyRetention();
        if (window.list(targets, asOfMillis, now())) {
            peers.send(history());
        }
        notices.updateMixedServices(now());
        records.check();
        inquiries.resolve();
    }

    /** {@return what is known of the versions that the directory lists} */
    VersionHistory history() {
        return window.history(now());
    }

    /**
     * Returns what is known of the versions that the directory lists, for a peer that may have
     * started behind a configuration with shorter time-outs.
     *
     * @return The versions, as recent to the peer's retention as they are to that of this gateway.
     */
    VersionHistory historyForNewPeer() {
        return history().shortenedBy(retention.excessMillis(now()));
    }

    /**
     * Applies what a peer knows of the versions that the directory lists.
     *
     * @param history The peer's knowledge.
     * @return {@code true} if a version was not known before.
     */
    boolean learn(VersionHistory history) {
        boolean added = window.learn(history, now());
        notices.updateMixedServices(now());
        records.check();
        inquiries.resolve();
        return added;
    }

    /**
     * Applies the origins that a peer reported.
     *
     * @param origins The origins.
     * @param fromDomain {@code true} if the peer is of this gateway's failure domain.
     */
    void learn(List<StreamOrigin> origins, boolean fromDomain) {
        known.learn(origins, fromDomain, now());
        if (fromDomain) {
            stored.add(origins, notices.mixedServices());
        }
        inquiries.resolve();
    }

    /**
     * Records that a peer doesn't know streams.
     *
     * @param peer The peer's name.
     * @param attempts The keys of the attempts that brought the first events.
     */
    void denied(String peer, List<Long> attempts) {
        inquiries.denied(peer, attempts);
    }

    /**
     * Records that the first event of a stream was forwarded.
     *
     * @param attempt The id of the attempt.
     * @param target The target that produced it.
     * @param route The route of the request.
     */
    void began(String attempt, DirectoryTarget target, Route route) {
        if (notices.began(StreamOrigin.key(attempt), target, route, now())) {
            peers.sendSoon();
        }
    }

    /**
     * Records whose stream began here.
     *
     * @param attempt The id of the attempt.
     * @param organisation The organisation of the caller, empty where callers have no keys.
     */
    void admitted(String attempt, String organisation) {
        grants.began(StreamOrigin.key(attempt), organisation, now());
    }

    /**
     * Takes precedence over new requests for one that continues a stream.
     *
     * @param attempt The id of the attempt that brought the first event.
     * @param organisation The organisation of the caller, empty where callers have no keys.
     * @return {@code true} if the stream is known here and its precedence is not used up.
     */
    boolean takePrecedence(String attempt, String organisation) {
        long key = StreamOrigin.key(attempt);
        return known.find(key, now()).filter(each -> each.version().isKnown()).isPresent()
                && grants.take(key, organisation, now());
    }

    /**
     * Gives the precedence of a request back that was not sent to a target.
     *
     * @param attempt The id of the attempt that brought the first event.
     */
    void givePrecedenceBack(String attempt) {
        grants.giveBack(StreamOrigin.key(attempt), now());
    }

    /**
     * Records that a stream that began elsewhere continues here.
     *
     * @param attempt The id of the attempt that brought the first event.
     * @param version The version that began the stream.
     * @param route The route of the request.
     */
    void continued(String attempt, ServiceVersion version, Route route) {
        if (notices.add(new StreamOrigin(StreamOrigin.key(attempt), version), route, now())) {
            peers.sendSoon();
        }
    }

    /**
     * Invalidates the streams that began of late at a target whose version has changed.
     *
     * @param target The target's id.
     */
    void versionChanged(String target) {
        notices.versionChanged(target, now());
    }

    /** {@return and removes the origins of which peers have not been notified yet} */
    List<StreamOrigin> takeUnsent() {
        List<StreamOrigin> taken = notices.takeUnsent();
        stored.add(taken, notices.mixedServices());
        return taken;
    }

    /** {@return the origins of this gateway's streams of which peers were notified} */
    List<StreamOrigin> notified() {
        return notices.notified(now());
    }

    /** {@return the origins that gateways of the same failure domain reported} */
    List<StreamOrigin> near() {
        return known.near(now());
    }

    /** {@return the time for which origins are retained at least, in milliseconds} */
    long retentionMillis() {
        return window.retentionMillis();
    }

    /**
     * Returns the origins that are known here.
     *
     * @param attempts The keys of the attempts that brought the first events.
     * @return The origins of those that are known.
     */
    List<StreamOrigin> known(List<Long> attempts) {
        List<StreamOrigin> found = new ArrayList<>();
        for (long each : attempts) {
            known.find(each, now())
                    .ifPresent(stream -> found.add(new StreamOrigin(each, stream.version())));
        }
        return found;
    }

    /**
     * Returns the targets at which streams may begin.
     *
     * @param targets The targets that accept requests.
     * @return Those without versions whose record is being written, all if there are no others.
     */
    List<TargetLoad> withoutHeldVersions(List<TargetLoad> targets) {
        List<TargetLoad> free =
                targets.stream()
                        .filter(
                                each ->
                                        !records.isHeld(
                                                new ServiceVersion(
                                                        each.target().service(),
                                                        each.target().version())))
                        .toList();
        return free.isEmpty() ? targets : free;
    }

    /** {@return the records of versions in the directory} */
    VersionRecords records() {
        return records;
    }

    /** {@return the searches for versions of streams} */
    OriginInquiries inquiries() {
        return inquiries;
    }

    /**
     * Finds the version of a stream that a caller resumes.
     *
     * @param attempt The id of the attempt that brought the first event, empty if the caller names
     *     none.
     * @param route The route of the request.
     * @param remainingMillis The time to the deadline of the request, in milliseconds.
     * @param listener Receives the result; called at once or within half of that time.
     */
    void find(
            Optional<String> attempt,
            Route route,
            long remainingMillis,
            Consumer<StreamLookup> listener) {
        Optional<String> service =
                route.services().size() == 1
                        ? Optional.of(route.services().get(0).service())
                        : Optional.empty();
        int rounds =
                (int)
                        Math.max(
                                1,
                                Math.min(MAX_ROUNDS, remainingMillis / DEADLINE_MILLIS_PER_ROUND));
        OriginInquiry inquiry =
                new OriginInquiry(attempt.map(StreamOrigin::key), InquiryScope.FLEET, rounds);
        CallerInquiry started =
                new CallerInquiry(
                        inquiry,
                        service,
                        known,
                        window,
                        records,
                        peers,
                        this::refreshTargets,
                        this::now,
                        listener);
        applyRetention();
        records.read();
        inquiries.start(started);
    }

    /** {@return the number of origins that are retained} */
    long size() {
        return known.size();
    }

    /** {@return the most versions of a service that were listed of late} */
    long versions() {
        long most = 0;
        for (ServiceVersion each : window.all()) {
            most = Math.max(most, window.recent(each.service(), now()).size());
        }
        return most;
    }

    /**
     * Reads the targets again, in a later millisecond than that of the event loop's iteration, so
     * that the list counts for what was read in it. Has no effect shortly after the last time.
     */
    void refreshTargets() {
        boolean answered = window.listedAsOfMillis() >= refreshedMillis;
        if (!refreshScheduled && (answered || now() - refreshedMillis >= REFRESH_TIMEOUT_MILLIS)) {
            refreshScheduled = true;
            long delayMillis = refreshedMillis + REFRESH_INTERVAL_MILLIS - now();
            reactor.delayBackground(Math.max(1, delayMillis), this::refreshNow);
        }
    }

    private void refreshNow() {
        refreshScheduled = false;
        refreshedMillis = now();
        peers.refreshTargets();
    }

    private long now() {
        return reactor.currentTimeMillis();
    }

    /** The peers of a gateway that has none. */
    private static final class NoPeers implements OriginPeers {

        @Override
        public Set<String> respondents(InquiryScope scope) {
            return Set.of();
        }

        @Override
        public boolean fleetKnown() {
            return true;
        }

        @Override
        public void ask(String peer, List<Long> attempts) {}

        @Override
        public void sendSoon() {}

        @Override
        public boolean owns(ServiceVersion version) {
            return false;
        }

        @Override
        public Promise<Void> record(ServiceVersion version) {
            return Promise.complete();
        }

        @Override
        public Promise<Void> removeRecord(ServiceVersion version) {
            return Promise.complete();
        }

        @Override
        public Promise<Set<ServiceVersion>> readRecords() {
            return Promise.of(Set.of());
        }

        @Override
        public Promise<Optional<Set<ServiceVersion>>> readHistory() {
            return Promise.of(Optional.empty());
        }

        @Override
        public void sendRecorded(List<ServiceVersion> versions) {}

        @Override
        public boolean stopped() {
            return true;
        }

        @Override
        public void send(VersionHistory history) {}

        @Override
        public void refreshTargets() {}

        @Override
        public boolean inContact() {
            return true;
        }
    }
}
