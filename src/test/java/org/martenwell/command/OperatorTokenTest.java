package org.martenwell.command;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.operator.OperatorServlet;
import org.martenwell.operator.RouterControl;
import org.martenwell.peer.ConfigurationResponse;
import org.martenwell.router.DrainReport;
import org.martenwell.router.RouterMetrics;
import org.martenwell.router.RouterStatus;
import org.martenwell.service.EventLoopThread;
import org.martenwell.service.IpAddress;
import org.martenwell.service.LoopbackPorts;
import org.martenwell.service.ServerStarter;
import org.martenwell.settings.RouterSettings;

/** Guards against operators' tokens that the router takes for other ones. */
final class OperatorTokenTest {

    private final EventLoopThread thread = EventLoopThread.start("operator-token");

    private final String address = LoopbackPorts.free(1).get(0);

    private HttpServer server;

    @AfterEach
    void stop() {
        thread.call(() -> server.close().toVoid());
        thread.stop();
    }

    @ParameterizedTest
    @CsvSource({
        "a token in ASCII,another token",
        "cl\u00e9 of 16 letters,cl\u00c3\u00a9 of 16 letters",
        "\u06a9\u0644\u06cc\u062f of 16 letters,???? of 16 letters"
    })
    void testTokenIsComparedByItsBytes(String token, String other) {
        serve(token);
        OperatorClient client = new OperatorClient(address);
        assertThat(drain(client, token)).isEqualTo(200);
        assertThatThrownBy(() -> drain(client, other))
                .isInstanceOf(MartenwellException.class)
                .extracting(failure -> ((MartenwellException) failure).kind())
                .isEqualTo(ErrorKind.UNAUTHENTICATED);
    }

    private static int drain(OperatorClient client, String token) {
        return client.change(HttpMethod.POST, "/drain", token, List.of(), new byte[0]).status();
    }

    private void serve(String token) {
        RouterSettings settings =
                new RouterSettings(
                        "router",
                        "domain",
                        address,
                        address,
                        address,
                        address,
                        token,
                        "a key of at least thirty-two characters",
                        Optional.empty(),
                        Optional.empty());
        server =
                HttpServer.builder(
                                thread.loop(),
                                new OperatorServlet(new DrainedRouter(), null, settings))
                        .withListenAddress(IpAddress.of(address))
                        .build();
        thread.call(() -> ServerStarter.start(server));
    }

    /** A router that can be drained and nothing else. */
    private static final class DrainedRouter implements RouterControl {

        @Override
        public boolean ready() {
            return false;
        }

        @Override
        public RouterStatus status() {
            throw new UnsupportedOperationException();
        }

        @Override
        public RouterMetrics metrics() {
            throw new UnsupportedOperationException();
        }

        @Override
        public Optional<ConfigurationResponse> configuration() {
            return Optional.empty();
        }

        @Override
        public Promise<DrainReport> drain() {
            return Promise.of(new DrainReport(0, 0));
        }
    }
}
