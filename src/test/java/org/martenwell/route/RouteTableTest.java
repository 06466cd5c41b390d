package org.martenwell.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.IDN;
import java.util.List;
import java.util.Locale;
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

    /** A route that is written in letters outside ASCII would match no sound request. */
    @Test
    void testInternationalRoutesMatchTheirEncodedForms() {
        RouteTable international =
                new RouteTable(
                        List.of(
                                route("city", "a.example", "/citt\u00e0/%2f/"),
                                route("other", "a.example", "/citt\u00c3\u00a0/"),
                                route("lahore", "\u0644\u0627\u06c1\u0648\u0631.example", "/"),
                                route("all", "a.example", "/")));
        assertThat(name(international, "a.example", "/citt%C3%A0/%2F/x")).isEqualTo("city");
        assertThat(name(international, "a.example", "/citt%c3%a0/%2f/x")).isEqualTo("city");
        assertThat(name(international, "a.example", "/citt\u00c3\u00a0/x")).isEqualTo("all");
        assertThat(name(international, "a.example", "/citt%C3%83%C2%A0/x")).isEqualTo("other");
        String host = IDN.toASCII("\u0644\u0627\u06c1\u0648\u0631.example");
        assertThat(name(international, host, "/x")).isEqualTo("lahore");
        assertThat(name(international, host.toUpperCase(Locale.ROOT) + ":80", "/x"))
                .isEqualTo("lahore");
    }

    /** Such a route must cost no other one its requests. */
    @Test
    void testRoutesThatCannotBeEncodedMatchNothing() {
        RouteTable invalid =
                new RouteTable(
                        List.of(
                                route("prefix", "a.example", "/\ud800/"),
                                route("host", "\ud800.example", "/"),
                                route("label", "\u0644".repeat(100) + ".example", "/"),
                                route("all", "a.example", "/")));
        assertThat(name(invalid, "a.example", "/?/")).isEqualTo("all");
        assertThat(name(invalid, "?.example", "/")).isEqualTo("none");
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
        return name(table, host, path);
    }

    private static String name(RouteTable routes, String host, String path) {
        return routes.find(host, path).map(Route::name).orElse("none");
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
