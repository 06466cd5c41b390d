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

/** Checks histories of concurrent claims by several routers: no key is ever granted twice. */
class ClaimLedgerTest {

    private static final int ROUTERS = 3;
    private static final int KEYS = 4;
    private static final int CLAIMS = 60;

    @Property(tries = 40, seed = "1")
    void testNoKeyIsGrantedTwiceWhateverFails(
            @ForAll @IntRange(max = 1_000_000) int seed,
            @ForAll @IntRange(max = 30) int failing,
            @ForAll @IntRange(max = 30) int losing) {
        FakePlatform platform = new FakePlatform(seed, failing / 100.0, losing / 100.0, true);
        History history = run(platform, seed);
        assertThat(history.mostGrants()).isLessThanOrEqualTo(1);
    }

    @Test
    void testCheckerFindsALedgerWithoutItsFence() {
        int most = 0;
        for (int seed = 0; seed < 20; seed++) {
            most = Math.max(most, run(new FakePlatform(seed, 0, 0, false), seed).mostGrants());
        }
        assertThat(most).isGreaterThan(1);
    }

    @Test
    void testEveryKeyIsGrantedOnceOnASoundPlatform() {
        History history = run(new FakePlatform(1, 0, 0, true), 1);
        assertThat(history.granted).hasSize(KEYS);
        assertThat(history.mostGrants()).isEqualTo(1);
        assertThat(history.failed).isZero();
    }

    @Test
    void testManyClaimsShareOneWrite() {
        Eventloop loop = loop();
        FakePlatform platform = new FakePlatform(1, 0, 0, true);
        LedgerShard shard = new LedgerShard("s", platform, loop::currentTimeMillis, new Random(1));
        for (int index = 0; index < 500; index++) {
            int number = index;
            loop.post(() -> shard.change(new ClaimOperation("k" + number, "r" + number, 0L)));
        }
        loop.run();
        assertThat(platform.calls()).isLessThan(50);
    }

    @Test
    void testAnswerIsKeptAndReleaseFreesTheKey() {
        LedgerClaims page = new LedgerClaims();
        new ClaimOperation("k", "one", 5).apply(page);
        new ReleaseOperation("k", "two").apply(page);
        assertThat(page.find("k")).isPresent();
        new ReleaseOperation("k", "one").apply(page);
        assertThat(page.find("k")).isEmpty();
        new ClaimOperation("k", "two", 5).apply(page);
        new RecordResponseOperation("k", "two", new StoredResponse(200, "t", "Ym9keQ=="))
                .apply(page);
        new ReleaseOperation("k", "two").apply(page);
        Claim claim = LedgerClaims.read(page.write()).find("k").orElseThrow();
        assertThat(claim.state()).isEqualTo(ClaimState.RAN);
        assertThat(claim.answer()).contains(new StoredResponse(200, "t", "Ym9keQ=="));
    }

    @Test
    void testAnswerThatIsTooLargeIsNotKept() {
        LedgerClaims page = new LedgerClaims();
        new ClaimOperation("k", "one", 5).apply(page);
        new RecordResponseOperation("k", "one", new StoredResponse(200, "t", "x".repeat(5_000)))
                .apply(page);
        assertThat(page.find("k").orElseThrow().answer()).isEmpty();
        assertThat(page.find("k").orElseThrow().state()).isEqualTo(ClaimState.RAN);
    }

    @Test
    void testKeyOutOfTheWindowIsRefusedInsteadOfForgotten() {
        String key = Generators.timeBasedEpochGenerator().generate().toString();
        long made = IdempotencyKey.of(key, System.currentTimeMillis()).millis();
        assertThatThrownBy(() -> IdempotencyKey.of(key, made + IdempotencyKey.WINDOW_MILLIS + 1))
                .isInstanceOfSatisfying(
                        MartenwellException.class,
                        refused -> assertThat(refused.kind()).isEqualTo(ErrorKind.KEY_EXPIRED));
        assertThatThrownBy(() -> IdempotencyKey.of("not-a-key", made))
                .isInstanceOf(MartenwellException.class);
    }

    /** Lets several routers claim few keys at once; some give their claim up and some record. */
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
                    () -> ledger.claim("o/s", key, request).subscribe(history.of(key, request)));
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

    /** Who was granted which key. */
    private static final class History {

        private final Map<String, List<String>> granted = new HashMap<>();
        private int failed;

        private Callback<Optional<Claim>> of(IdempotencyKey key, String request) {
            return (other, exception) -> {
                if (exception != null) {
                    failed++;
                } else if (other.isEmpty()) {
                    granted.computeIfAbsent(key.text(), any -> new ArrayList<>()).add(request);
                }
            };
        }

        private int mostGrants() {
            return granted.values().stream().mapToInt(List::size).max().orElse(0);
        }
    }
}
