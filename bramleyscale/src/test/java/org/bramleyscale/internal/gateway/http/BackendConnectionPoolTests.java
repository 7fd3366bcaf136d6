package org.bramleyscale.internal.gateway.http;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.net.HostAndPort;
import com.google.common.truth.Truth;
import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.gateway.request.CallerRequest;
import org.bramleyscale.internal.gateway.request.Header;
import org.bramleyscale.internal.gateway.request.OutgoingRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Contract tests of {@link BackendConnectionPool} over real sockets.
 */
@Timeout(30)
class BackendConnectionPoolTests {

	private static final String OK = "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\n";

	private static final String SECOND_RESPONSE = "HTTP/1.1 200 OK\r\nId: r2\r\nSignature: s\r\nContent-Length: 2\r\n\r\nbb";

	private final NettyLoop loop = new NettyLoop("test");

	private final BackendConnectionPool connections = new BackendConnectionPool(this.loop, new PlainDialect(),
			DecisionLog.NONE);

	@AfterEach
	void close() {
		this.loop.close();
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`', value = { "Content-Length: 2\\r\\n\\r\\naa | 200 aa complete",
			"Transfer-Encoding: chunked\\r\\n\\r\\n2\\r\\naa\\r\\n0\\r\\n\\r\\n | 200 aa complete",
			"\\r\\naa!close | 200 aa closed", "\\r\\naa!reset | 200 aa failed",
			"Content-Length: 4\\r\\n\\r\\naa!close | 200 aa failed",
			"Content-Length: 4\\r\\n\\r\\naa!reset | 200 aa failed",
			"Transfer-Encoding: chunked\\r\\n\\r\\n2\\r\\naa\\r\\n!close | 200 aa failed",
			"Transfer-Encoding: chunked\\r\\n\\r\\n4\\r\\naa!close | 200 aa failed",
			"Transfer-Encoding: chunked\\r\\n\\r\\nzz\\r\\naa | 200 failed",
			"Transfer-Encoding: chunked\\r\\n\\r\\n2\\r\\naabb\\r\\n0\\r\\n\\r\\n | 200 failed",
			"Transfer-Encoding: chunked\\r\\n\\r\\n2\\r\\naa\\r\\n0\\r\\nHTTP/1.1 200 OK\\r\\n\\r\\n | 200 aa failed" })
	void responseIsCompleteOnlyByItsOwnFraming(String rest, String received) throws Exception {
		// Guards against taking a truncated response for complete: an endpoint breaks off
		// a response, and the end of the connection looks like the end of the response.
		try (ScriptedServer server = new ScriptedServer(List.of(OK + unescape(rest)))) {
			Truth.assertThat(send(server, "r1", false)).isEqualTo(received);
		}
	}

	/** Guards against taking the end that this side makes for the end of the response. */
	@Test
	void responseWithoutLengthIsBrokenOffIfThePoolShutsDown() throws Exception {
		try (ScriptedServer server = new ScriptedServer(List.of(OK + "\r\naa"))) {
			RecordingListener listener = sendTo(server, EndpointStart.withUnknownStart("e1"), "r1", false, "GET");
			listener.firstData.get(20, TimeUnit.SECONDS);
			this.loop.close();
			Truth.assertThat(listener.ended.get(20, TimeUnit.SECONDS)).isEqualTo("200 aa failed");
		}
	}

	/** Guards against doubting a response that has no body, whatever its headers say. */
	@ParameterizedTest
	@CsvSource({ "GET, 204 No Content", "GET, 304 Not Modified", "HEAD, 200 OK" })
	void responseWithoutBodyIsCompleteByItsFraming(String method, String status) throws Exception {
		try (ScriptedServer server = new ScriptedServer(List.of("HTTP/1.1 " + status + "\r\nId: r1\r\n\r\n"))) {
			RecordingListener listener = sendTo(server, EndpointStart.withUnknownStart("e1"), "r1", false, method);
			Truth.assertThat(listener.ended.get(20, TimeUnit.SECONDS)).isEqualTo(status.split(" ")[0] + " complete");
		}
	}

	@ParameterizedTest
	@CsvSource({ "HTTP/1.1 200 OK\\r\\nId: r0\\r\\nContent-Length: 2\\r\\n\\r\\nzz",
			"HTTP/1.1 100 Continue\\r\\n\\r\\n" })
	void responseToAnotherRequestIsSkipped(String before) throws Exception {
		// Guards against relaying another caller's response: an endpoint's late response
		// arrives where the next one is expected, and responses are matched by position.
		try (ScriptedServer server = new ScriptedServer(
				List.of(unescape(before) + OK + "Content-Length: 2\r\n\r\naa"))) {
			Truth.assertThat(send(server, "r1", false)).isEqualTo("200 aa complete");
		}
	}

	@ParameterizedTest
	@CsvSource({ "HTTP/1.1 200 OK\\r\\nId: r1\\r\\nContent-Length: 2\\r\\n\\r\\nxx", "junk" })
	void connectionWithUnsolicitedBytesIsNotReused(String extra) throws Exception {
		try (ScriptedServer server = new ScriptedServer(
				List.of(OK + "Content-Length: 2\r\n\r\naa" + unescape(extra) + "\r\n\r\n", SECOND_RESPONSE))) {
			Truth.assertThat(send(server, "r1", false)).isEqualTo("200 aa complete");
			Truth.assertThat(send(server, "r2", false)).isEqualTo("200 bb complete");
			Truth.assertThat(server.connections()).isEqualTo(2);
		}
	}

	@ParameterizedTest
	@CsvSource({ "false, '', 1", "true, '', 2", "false, Connection: close, 2" })
	void connectionIsReusedUnlessAFreshOneIsRequired(boolean fresh, String header, int connections) throws Exception {
		String first = OK + (header.isEmpty() ? "" : header + "\r\n") + "Content-Length: 2\r\n\r\naa";
		try (ScriptedServer server = new ScriptedServer(List.of(first, SECOND_RESPONSE))) {
			Truth.assertThat(send(server, "r1", false)).isEqualTo("200 aa complete");
			Truth.assertThat(send(server, "r2", fresh)).isEqualTo("200 bb complete");
			Truth.assertThat(server.connections()).isEqualTo(connections);
		}
	}

	/** Guards against new connections because of responses that end with theirs. */
	@Test
	void connectionsAreKeptToAnEndpointWhoseResponseEndsWithItsConnection() throws Exception {
		try (ScriptedServer server = new ScriptedServer(
				List.of(OK + "\r\naa!close", SECOND_RESPONSE, SECOND_RESPONSE.replace("r2", "r3")))) {
			Truth.assertThat(send(server, "r1", false)).isEqualTo("200 aa closed");
			Truth.assertThat(send(server, "r2", false)).isEqualTo("200 bb complete");
			Truth.assertThat(send(server, "r3", false)).isEqualTo("200 bb complete");
			Truth.assertThat(server.connections()).isEqualTo(2);
		}
	}

	@Test
	void requestThatCouldNotConnectIsReportedUnsent() throws Exception {
		try (Socket bound = new Socket()) {
			// Bound, so that no other process listens on the port meanwhile.
			bound.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
			RecordingListener listener = sendTo(bound.getLocalPort(), EndpointStart.withUnknownStart("e1"), "r1", false,
					"GET");
			Truth.assertThat(listener.ended.get(20, TimeUnit.SECONDS)).isEqualTo("unsent");
		}
	}

	@Test
	void sendsExpectedEndpointAndCallerHeaders() throws Exception {
		try (ScriptedServer server = new ScriptedServer(List.of(OK + "Content-Length: 0\r\n\r\n"))) {
			send(server, "r1", false);
			Truth.assertThat(server.requests.get(0)).startsWith("GET /quotes?x=1%202 HTTP/1.1\r\n");
			Truth.assertThat(server.requests.get(0)).contains("Expect-Endpoint: e1\r\n");
			Truth.assertThat(server.requests.get(0)).contains("Colour: red\r\n");
		}
	}

	@ParameterizedTest
	@CsvSource({ "1, 1, 1", "1, 2, 2" })
	void connectionToAnEarlierStartIsNotReused(long first, long second, int connections) throws Exception {
		// Guards against losing a request although its endpoint is healthy: an endpoint
		// crashes without closing its connections and restarts under its id and address,
		// and the next request uses a pooled connection, which only the new process's
		// reset shows to be dead.
		try (ScriptedServer server = new ScriptedServer(List.of(OK + "Content-Length: 2\r\n\r\naa", SECOND_RESPONSE))) {
			send(server, new EndpointStart(new EndpointId("e1"), first), "r1", false);
			send(server, new EndpointStart(new EndpointId("e1"), second), "r2", false);
			Truth.assertThat(server.connections()).isEqualTo(connections);
		}
	}

	private String send(ScriptedServer server, String id, boolean fresh) throws Exception {
		return send(server, EndpointStart.withUnknownStart("e1"), id, fresh);
	}

	private String send(ScriptedServer server, EndpointStart start, String id, boolean fresh) throws Exception {
		String received = sendTo(server, start, id, fresh, "GET").ended.get(20, TimeUnit.SECONDS);
		// Any further data on the connection has been read when this task has run.
		CompletableFuture<Void> settled = new CompletableFuture<>();
		this.loop.schedule(Duration.ofMillis(100), () -> settled.complete(null));
		settled.get(20, TimeUnit.SECONDS);
		return received;
	}

	private RecordingListener sendTo(ScriptedServer server, EndpointStart start, String id, boolean fresh,
			String method) {
		return sendTo(server.port(), start, id, fresh, method);
	}

	private RecordingListener sendTo(int port, EndpointStart start, String id, boolean fresh, String method) {
		Backend to = new Backend(start, new ServiceName("quotes"), HostAndPort.fromParts("127.0.0.1", port),
				new DataCentre("east"), 4, false);
		CallerRequest request = new CallerRequest(id, method, "/quotes?x=1%202", "hire.example",
				List.of(new Header("Host", "hire.example"), new Header("Colour", "red")), new byte[0], Optional.empty(),
				Optional.empty(), 0, 0, Optional.empty(), List.of());
		RecordingListener listener = new RecordingListener();
		this.loop.execute(() -> this.connections.send(to, new OutgoingRequest(request, Optional.empty(),
				Duration.ofSeconds(5), Optional.empty(), List.of(), 5, fresh), listener));
		return listener;
	}

	private static String unescape(String text) {
		return text.replace("\\r\\n", "\r\n");
	}

}
