package org.martenwell.prompt;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class PromptCacheViewTest {

    private static final PromptChain CHAIN = chain("model", "a", "b", "own");

    @Test
    void testLastPartIsLeftOut() {
        assertThat(CHAIN.length()).isEqualTo(2);
        assertThat(CHAIN.totalTokens()).isEqualTo(200);
        assertThat(PromptChain.of("model", List.of()).length()).isZero();
    }

    @Test
    void testKeyDependsOnTheModel() {
        assertThat(chain("model", "a", "b", "x").key(1)).isEqualTo(CHAIN.key(1));
        assertThat(PromptChain.key("model", "b")).isEqualTo(CHAIN.key(1));
        assertThat(chain("other", "a", "b", "x").key(0)).isNotEqualTo(CHAIN.key(0));
    }

    @Test
    void testPartCountsOnlyIfAllPartsBeforeItAreCached() {
        PromptCacheView cache = new PromptCacheView();
        cache.put(CHAIN.key(1), 100, 1_000);
        assertThat(cache.cachedTokens(CHAIN)).isZero();
        cache.put(CHAIN.key(0), 100, 1_000);
        assertThat(cache.cachedTokens(CHAIN)).isEqualTo(200);
    }

    @Test
    void testLeastRecentlyUsedPartsAreEvictedFirst() {
        PromptCacheView cache = new PromptCacheView();
        cache.put(CHAIN, 300);
        cache.put(chain("model", "c", "x"), 300);
        cache.put(CHAIN, 300);
        cache.put(chain("model", "d", "x"), 300);
        assertThat(cache.cachedTokens(CHAIN)).isEqualTo(200);
        assertThat(cache.cachedTokens(chain("model", "c", "x"))).isZero();
    }

    private static PromptChain chain(String model, String... ids) {
        return PromptChain.of(
                model, List.of(ids).stream().map(id -> new PromptPart(id, 100)).toList());
    }
}
