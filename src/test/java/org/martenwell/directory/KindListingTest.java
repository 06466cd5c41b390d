package org.martenwell.directory;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.martenwell.error.MartenwellException;

/**
 * Guards against lists that never end because the name of a page's last entry doesn't lead to the
 * next page, which fills the heap and the stack until the process ends.
 */
final class KindListingTest {

    private static final int MAX_LISTS = 10;

    private final Eventloop loop = Eventloop.builder().withCurrentThread().build();

    private final ScriptedStore store = new ScriptedStore();

    @ParameterizedTest
    @ValueSource(strings = {"", "\ud800", "a\udfff", "\ufffd"})
    void testListGoesOnBehindTheLastNameThatAQueryCanCarry(String odd) {
        store.willReturn(1, true, "a", "b", odd);
        store.willReturn(1, true, odd, "c");
        store.willReturn(1, false, "d");
        Promise<KindListing> listing = list();
        assertThat(listing.getResult().entries()).containsKeys("a", "b", "c", "d");
        assertThat(store.listedAfter())
                .containsExactly(Optional.empty(), Optional.of("b"), Optional.of("c"));
    }

    @Test
    void testListGoesOnBeforeANameThatIsTooLongForAQuery() {
        store.willReturn(1, true, "a", "b", "x".repeat(100_000));
        store.willReturn(1, false, "x".repeat(100_000), "y");
        assertThat(list().getResult().entries()).hasSize(4);
        assertThat(store.listedAfter()).containsExactly(Optional.empty(), Optional.of("b"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "\ud800", "\ufffd"})
    void testListThatCannotGoOnFails(String odd) {
        store.willReturn(1, true, odd, odd);
        assertThat(list().getException()).isInstanceOf(MartenwellException.class);
        assertThat(store.listCount()).isOne();
    }

    /** It would look like the last one, so that all entries behind it seemed to be removed. */
    @Test
    void testListFailsAtAnEmptyPageBeforeTheLast() {
        store.willReturn(1, true, "a");
        store.willReturn(1, true);
        assertThat(list().getException()).isInstanceOf(MartenwellException.class);
    }

    /** As from a store that doesn't find the place of a name. */
    @Test
    void testListFailsAtAPageWithoutANewName() {
        store.willReturn(1, true, "a", "b");
        assertThat(list().getException()).isInstanceOf(MartenwellException.class);
        assertThat(store.listCount()).isEqualTo(2);
    }

    private Promise<KindListing> list() {
        store.failBehind(MAX_LISTS);
        Promise<KindListing> listing = KindListing.of(store, "kind", Freshness.CURRENT);
        loop.run();
        assertThat(store.listCount()).as("lists").isLessThan(MAX_LISTS);
        return listing;
    }
}
