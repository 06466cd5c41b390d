package org.martenwell.gateway;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.martenwell.version.ServiceVersion;

/** Search for the version of a stream that a caller resumes. Decides whether it continues. */
final class CallerInquiry implements PendingInquiry {

    /**
     * The rounds in which the directory has to list its targets, the first of which may be short;
     * longer than the interval of lists.
     */
    private static final int LIST_ROUNDS = 4;

    /** The rounds after which peers are asked for a stream that the directory's list may tell. */
    private static final int ROUNDS_BEFORE_PEERS = 1;

    private final OriginInquiry inquiry;

    /** The only service of the route, empty if it has several. */
    private final Optional<String> service;

    private final long sinceMillis;

    private final KnownOrigins known;

    private final VersionWindow window;

    private final VersionRecords records;

    private final OriginPeers peers;

    /** Reads the targets from the directory again. */
    private final Runnable refresh;

    private final LongSupplier clock;

    private final Consumer<StreamLookup> listener;

    /**
     * Creates a search.
     *
     * @param inquiry The search among peers.
     * @param service The only service of the route, empty if it has several.
     * @param known The origins that are known here.
     * @param window The versions that were listed of late.
     * @param records The records of versions in the directory.
     * @param peers The peers.
     * @param refresh Reads the targets from the directory again, soon.
     * @param clock Provides the current time, in milliseconds.
     * @param listener Receives the result.
     */
    CallerInquiry(
            OriginInquiry inquiry,
            Optional<String> service,
            KnownOrigins known,
            VersionWindow window,
            VersionRecords records,
            OriginPeers peers,
            Runnable refresh,
            LongSupplier clock,
            Consumer<StreamLookup> listener) {
        this.inquiry = inquiry;
        this.service = service;
        this.known = known;
        this.window = window;
        this.records = records;
        this.peers = peers;
        this.refresh = refresh;
        this.clock = clock;
        this.listener = listener;
        this.sinceMillis = clock.getAsLong();
    }

    @Override
    public OriginInquiry inquiry() {
        return inquiry;
    }

    @Override
    public boolean resolve() {
        Optional<ResumedStream> found = known();
        if (found.isPresent()) {
            return resolve(found.get());
        }
        Optional<ServiceVersion> only = onlyVersion();
        if (only.isPresent() && window.isListedAfter(sinceMillis)) {
            acceptOnly(only.get());
            return true;
        }
        if (only.isPresent() && inquiry.hasLasted(LIST_ROUNDS) && !peers.inContact()) {
            refuse(StreamRefusal.PEERS_SILENT);
            return true;
        }
        if (only.isPresent()) {
            refresh.run();
        }
        if (inquiry.attempt().isEmpty() && only.isEmpty()) {
            refuse(
                    versions() == 1
                            ? StreamRefusal.HISTORY_TOO_SHORT
                            : StreamRefusal.NO_ATTEMPT_NAMED);
            return true;
        }
        return false;
    }

    /** Continues a stream of a known version, once that is known to be served or to have gone. */
    private boolean resolve(ResumedStream stream) {
        if (!stream.version().isKnown()) {
            refuse(StreamRefusal.CONTRADICTORY);
        } else if (window.serves(stream.version()) || window.isListedAfter(sinceMillis)) {
            accept(stream);
        } else if (inquiry.hasLasted(LIST_ROUNDS)) {
            refuse(StreamRefusal.VERSION_UNLISTED);
        } else {
            refresh.run();
            return false;
        }
        return true;
    }

    @Override
    public boolean denied() {
        if (known().isPresent()) {
            return false;
        }
        Optional<ServiceVersion> only = onlyVersion();
        if (only.isPresent() && isListOverdue() && peers.inContact()) {
            // A peer's notice of another version precedes its answer.
            acceptOnly(only.get());
            return true;
        }
        if (only.isPresent() || records.isReading()) {
            return false;
        }
        refuse(versions() == 1 ? StreamRefusal.HISTORY_TOO_SHORT : StreamRefusal.UNKNOWN_TO_PEERS);
        return true;
    }

    /** {@inheritDoc} A list serves all searches at once, so peers are asked if it takes long. */
    @Override
    public boolean asksPeers() {
        return known().isEmpty()
                && (onlyVersion().isEmpty() || inquiry.hasLasted(ROUNDS_BEFORE_PEERS));
    }

    @Override
    public void expired() {
        refuse(known().isPresent() ? StreamRefusal.VERSION_UNLISTED : StreamRefusal.PEERS_SILENT);
    }

    private Optional<ResumedStream> known() {
        return inquiry.attempt().flatMap(each -> known.find(each, clock.getAsLong()));
    }

    /** Returns the only version at which the stream can have begun, empty if it isn't known. */
    private Optional<ServiceVersion> onlyVersion() {
        return service.flatMap(each -> window.only(each, sinceMillis));
    }

    private boolean isListOverdue() {
        return window.isCurrentAt(sinceMillis) || inquiry.hasLasted(LIST_ROUNDS);
    }

    private int versions() {
        return service.map(each -> window.recent(each, clock.getAsLong()).size()).orElse(0);
    }

    private void acceptOnly(ServiceVersion version) {
        accept(new ResumedStream(version, OriginSource.ONLY_VERSION));
    }

    private void accept(ResumedStream stream) {
        listener.accept(StreamLookup.found(stream, facts()));
    }

    private void refuse(StreamRefusal refusal) {
        listener.accept(StreamLookup.refused(refusal, facts()));
    }

    private LookupFacts facts() {
        long now = clock.getAsLong();
        return new LookupFacts(
                versions(),
                window.history(now).coveredMillis(),
                inquiry.askedCount(),
                inquiry.deniedCount(),
                now - sinceMillis);
    }
}
