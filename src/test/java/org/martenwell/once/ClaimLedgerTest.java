package org.martenwell.once;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.uuid.Generators;
import io.activej.async.callback.Callback;
import io.activej.eventloop.Eventloop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

/**
 * Guards against two requests holding the claim of the same key when several routers claim
 * concurrently and the platform fails calls or loses responses.
 */
class ClaimLedgerTest {

    private static final int ROUTERS = 3;
    private static final int KEYS = 4;
    private static final int CLAIMS = 60;

    @Property(tries = 40, seed = "1")
    void testNoKeyIsGrantedTwiceDespiteFailures(
            @ForAll @IntRange(max = 1_000_000) int seed,
            @ForAll @IntRange(max = 30) int failureRate,
            @ForAll @IntRange(max = 30) int lostResponseRate) {
        FakePlatform platform =
                new FakePlatform(seed, failureRate / 100.0, lostResponseRate / 100.0, true);
        History history = run(platform, seed);
        assertThat(history.maxGrantsPerKey()).isLessThanOrEqualTo(1);
    }

    @Test
    void testDoubleGrantIsDetectedWithoutConditionalUpdates() {
        int max = 0;
        for (int seed = 0; seed < 20; seed++) {
            max = Math.max(max, run(new FakePlatform(seed, 0, 0, false), seed).maxGrantsPerKey());
        }
        assertThat(max).isGreaterThan(1);
    }

    @Test
    void testEveryKeyIsGrantedOnceWithoutFailures() {
        History history = run(new FakePlatform(1, 0, 0, true), 1);
        assertThat(history.granted).hasSize(KEYS);
        assertThat(history.maxGrantsPerKey()).isEqualTo(1);
        assertThat(history.failed).isZero();
    }

    @Test
    void testConcurrentClaimsAreBatched() {
        Eventloop loop = loop();
        FakePlatform platform = new FakePlatform(1, 0, 0, true);
        LedgerShard shard = new LedgerShard("s", platform, loop::currentTimeMillis, new Random(1));
        for (int index = 0; index < 500; index++) {
            int number = index;
            loop.post(() -> shard.change(new ClaimOperation("k" + number, "r" + number, 0L)));
        }
        loop.run();
        assertThat(platform.callCount()).isLessThan(50);
    }

    @Test
    void testResponseIsStoredAndReleaseRemovesClaim() {
        LedgerClaims claims = new LedgerClaims();
        new ClaimOperation("k", "one", 5).apply(claims);
        new ReleaseOperation("k", "two").apply(claims);
        assertThat(claims.find("k")).isPresent();
        new ReleaseOperation("k", "one").apply(claims);
        assertThat(claims.find("k")).isEmpty();
        new ClaimOperation("k", "two", 5).apply(claims);
        new RecordResponseOperation("k", "two", new StoredResponse(200, "t", "Ym9keQ=="))
                .apply(claims);
        new ReleaseOperation("k", "two").apply(claims);
        Claim claim = LedgerClaims.read(claims.write()).find("k").orElseThrow();
        assertThat(claim.state()).isEqualTo(ClaimState.RAN);
        assertThat(claim.answer()).contains(new StoredResponse(200, "t", "Ym9keQ=="));
    }

    @Test
    void testLargeResponseIsNotStored() {
        LedgerClaims claims = new LedgerClaims();
        new ClaimOperation("k", "one", 5).apply(claims);
        new RecordResponseOperation("k", "one", new StoredResponse(200, "t", "x".repeat(5_000)))
                .apply(claims);
        assertThat(claims.find("k").orElseThrow().answer()).isEmpty();
        assertThat(claims.find("k").orElseThrow().state()).isEqualTo(ClaimState.RAN);
    }

    @Test
    void testExpiredKeyIsRejected() {
        String key = Generators.timeBasedEpochGenerator().generate().toString();
        long millis = IdempotencyKey.of(key, System.currentTimeMillis()).millis();
        assertThatThrownBy(() -> IdempotencyKey.of(key, millis + IdempotencyKey.WINDOW_MILLIS + 1))
                .isInstanceOfSatisfying(
                        MartenwellException.class,
                        exception -> assertThat(exception.kind()).isEqualTo(ErrorKind.KEY_EXPIRED));
        assertThatThrownBy(() -> IdempotencyKey.of("not-a-key", millis))
                .isInstanceOf(MartenwellException.class);
    }

    /** Claims few keys many times through several routers and records the results. */
    private static History run(FakePlatform platform, long seed) {
        Eventloop loop = loop();
        Random random = new Random(seed);
        History history = new History();
        List<ClaimLedger> ledgers = new ArrayList<>();
        for (int index = 0; index < ROUTERS; index++) {
            ledgers.add(
                    new ClaimLedger(platform, loop::currentTimeMillis, new Random(seed + index)));
        }
        for (int index = 0; index < CLAIMS; index++) {
            ClaimLedger ledger = ledgers.get(random.nextInt(ROUTERS));
            IdempotencyKey key = new IdempotencyKey("key" + random.nextInt(KEYS), 1L << 60);
            String request = "request" + index;
            loop.delay(
                    random.nextInt(60),
                    () ->
                            ledger.claim("o/s", key, request)
                                    .subscribe(history.callback(key, request)));
        }
        loop.run();
        return history;
    }

    private static Eventloop loop() {
        return Eventloop.builder()
                .withCurrentThread()
                .withFatalErrorHandler((thrown, context) -> {})
                .build();
    }

    /** Requests that were granted a claim, by key. */
    private static final class History {

        private final Map<String, List<String>> granted = new HashMap<>();
        private int failed;

        private Callback<Optional<Claim>> callback(IdempotencyKey key, String request) {
            return (existing, exception) -> {
                if (exception != null) {
                    failed++;
                } else if (existing.isEmpty()) {
                    granted.computeIfAbsent(key.text(), any -> new ArrayList<>()).add(request);
                }
            };
        }

        private int maxGrantsPerKey() {
            return granted.values().stream().mapToInt(List::size).max().orElse(0);
        }
    }
}
