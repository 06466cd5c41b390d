package org.martenwell.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class RouteTableTest {

    private final RouteTable table =
            new RouteTable(
                    List.of(
                            route("all", "a.example", "/"),
                            route("long", "a.example", "/x/y/"),
                            route("short", "a.example", "/x/"),
                            route("other", "b.example", "/x/")));

    @Test
    void testLongestPrefixMatches() {
        assertThat(name("a.example", "/x/y/z")).isEqualTo("long");
        assertThat(name("a.example", "/x/z")).isEqualTo("short");
        assertThat(name("a.example", "/z")).isEqualTo("all");
        assertThat(name("A.Example:8080", "/x/")).isEqualTo("short");
    }

    @Test
    void testPrefixMatchesWholeSegmentsOfTheSameHost() {
        assertThat(name("b.example", "/x")).isEqualTo("none");
        assertThat(name("b.example", "/xy/")).isEqualTo("none");
        assertThat(name("c.example", "/x/")).isEqualTo("none");
    }

    @Test
    void testServiceIsSelectedByWeight() {
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        RouteType.IDEMPOTENT,
                        1,
                        1,
                        0,
                        List.of(new WeightedService("a", 90), new WeightedService("b", 10)),
                        1,
                        false,
                        false,
                        0);
        assertThat(route.service(0)).isEqualTo("a");
        assertThat(route.service(0.89)).isEqualTo("a");
        assertThat(route.service(0.91)).isEqualTo("b");
    }

    @Test
    void testIdempotentRequestsAndResumableStreamsAreRepeatable() {
        assertThat(RouteType.IDEMPOTENT.repeatable(false)).isTrue();
        assertThat(RouteType.NON_IDEMPOTENT.repeatable(true)).isFalse();
        assertThat(RouteType.STREAMING.repeatable(false)).isFalse();
        assertThat(RouteType.STREAMING.repeatable(true)).isTrue();
    }

    private String name(String host, String path) {
        return table.find(host, path).map(Route::name).orElse("none");
    }

    private static Route route(String name, String host, String prefix) {
        return new Route(
                name,
                host,
                prefix,
                RouteType.IDEMPOTENT,
                1_000,
                100,
                0,
                List.of(new WeightedService("s", 1)),
                1,
                false,
                false,
                0);
    }
}
