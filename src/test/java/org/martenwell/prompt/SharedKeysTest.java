package org.martenwell.prompt;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the eviction of shared keys and of cached parts. */
final class SharedKeysTest {

    @Test
    void testLeastRecentlyUsedKeysAreDiscarded() {
        SharedKeys keys = new SharedKeys();
        for (long key = 0; key < 20_000; key++) {
            keys.add(0);
            keys.add(key);
        }
        assertThat(keys.contains(0)).isTrue();
        assertThat(keys.contains(1)).isFalse();
        assertThat(keys.contains(19_999)).isTrue();
    }

    @Test
    void testEvictedPartFreesCapacity() {
        PromptCacheView cache = new PromptCacheView();
        cache.put(1, 60, 100);
        assertThat(cache.evict(1)).isTrue();
        assertThat(cache.evict(1)).isFalse();
        cache.put(2, 60, 100);
        cache.put(3, 40, 100);
        assertThat(cache.contains(1)).isFalse();
        assertThat(cache.contains(2)).isTrue();
        assertThat(cache.contains(3)).isTrue();
    }
}
