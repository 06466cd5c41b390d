package org.martenwell.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.DigestUtils;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.martenwell.demo.DemoFleet;
import org.martenwell.demo.DemoSite;
import org.martenwell.operator.OperatorServlet;
import org.martenwell.service.IpAddress;

/** Guards against keys and paths outside ASCII that the router takes for other ones. */
class RouterEncodingTest {

    private static final String OWN = "cl\u00e9";

    /** The key whose text is the own one's UTF-8 read as Latin-1. */
    private static final String OTHER = "cl\u00c3\u00a9";

    private static DemoFleet fleet;

    @BeforeAll
    static void start() throws IOException, InterruptedException {
        fleet = DemoFleet.start(DemoSite.coldChain(), 1);
        HttpClient client = HttpClient.newHttpClient();
        String address = fleet.routerSettings().get(0).operatorAddress();
        URI uri = URI.create("http://" + address + "/configuration");
        String text =
                client.send(
                                HttpRequest.newBuilder(uri).build(),
                                HttpResponse.BodyHandlers.ofString())
                        .body()
                        .replace(hash(DemoSite.key("clinic-0")), hash(OWN))
                        .replace(hash(DemoSite.key("clinic-1")), hash(OTHER));
        HttpResponse<String> applied =
                client.send(
                        HttpRequest.newBuilder(uri)
                                .header("Authorization", "Bearer " + DemoFleet.TOKEN)
                                .header(OperatorServlet.BASE_VERSION, "1")
                                .PUT(HttpRequest.BodyPublishers.ofString(text))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
        assertThat(applied.statusCode()).as(applied.body()).isEqualTo(200);
    }

    @AfterAll
    static void stop() {
        fleet.stop();
    }

    /** The text of the configuration has the hash of the key's UTF-8. */
    @Test
    void testKeyIsComparedByItsBytes() {
        assertThat(send(OWN, "/v1/models", true)).startsWith("HTTP/1.1 200");
        assertThat(send(OTHER, "/v1/models", true)).startsWith("HTTP/1.1 200");
        assertThat(send("cl\u00ef", "/v1/models", true)).startsWith("HTTP/1.1 401");
        assertThat(send(OWN, "/v1/models", false)).startsWith("HTTP/1.1 401");
    }

    /** Targets may read such bytes in several ways. */
    @Test
    void testPathsOutsideAsciiAreRejected() {
        String key = DemoSite.key("clinic-2");
        String path = "/services/" + DemoSite.LOCK + "/citt\u00e0";
        int before = fleet.runs().size();
        assertThat(send(key, path, true)).startsWith("HTTP/1.1 400").contains("malformed_request");
        assertThat(send(key, path, false)).startsWith("HTTP/1.1 400").contains("malformed_request");
        assertThat(fleet.runs()).hasSize(before);
    }

    private static String hash(String key) {
        return DigestUtils.sha256Hex(key.getBytes(StandardCharsets.UTF_8));
    }

    private static String send(String key, String target, boolean utf8) {
        InetSocketAddress address = IpAddress.of(fleet.callerAddresses().get(0));
        String request =
                "GET "
                        + target
                        + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                        + "Authorization: Bearer "
                        + key
                        + "\r\n\r\n";
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.getOutputStream()
                    .write(
                            request.getBytes(
                                    utf8 ? StandardCharsets.UTF_8 : StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (IOException exception) {
            throw new AssertionError(exception);
        }
    }
}
