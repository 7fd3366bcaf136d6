package org.bramleyscale.internal.gateway.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
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
import org.bramleyscale.internal.gateway.request.BackendHead;
import org.bramleyscale.internal.gateway.request.BackendListener;
import org.bramleyscale.internal.gateway.request.CallerRequest;
import org.bramleyscale.internal.gateway.request.Header;
import org.bramleyscale.internal.gateway.request.OutgoingRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Contract tests of {@link BackendConnections} over real sockets.
 */
@Timeout(30)
class BackendConnectionsTests {

	private static final String OK = "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\n";

	private static final String SECOND = "HTTP/1.1 200 OK\r\nId: r2\r\nSignature: s\r\nContent-Length: 2\r\n\r\nbb";

	private final NettyLoop loop = new NettyLoop("test");

	private final BackendConnections connections = new BackendConnections(this.loop, new PlainDialect());

	@AfterEach
	void close() {
		this.loop.close();
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`',
			value = { "Content-Length: 2\\r\\n\\r\\naa | 200 aa complete",
					"Transfer-Encoding: chunked\\r\\n\\r\\n2\\r\\naa\\r\\n0\\r\\n\\r\\n | 200 aa complete",
					"\\r\\naa!close | 200 aa complete", "\\r\\naa!reset | 200 aa failed",
					"Content-Length: 4\\r\\n\\r\\naa!close | 200 aa failed",
					"Content-Length: 4\\r\\n\\r\\naa!reset | 200 aa failed",
					"Transfer-Encoding: chunked\\r\\n\\r\\n2\\r\\naa\\r\\n!close | 200 aa failed",
					"Transfer-Encoding: chunked\\r\\n\\r\\n4\\r\\naa!close | 200 aa failed",
					"Transfer-Encoding: chunked\\r\\n\\r\\nzz\\r\\naa | 200 failed" })
	void anAnswerIsCompleteOnlyByItsOwnFraming(String rest, String heard) throws Exception {
		// Symptom: a caller takes half of an answer for all of it. Sequence: an endpoint
		// breaks off an answer. Cause: the end of a connection looks like the answer's
		// end.
		try (ScriptedServer server = new ScriptedServer(List.of(OK + unescape(rest)))) {
			Truth.assertThat(send(server, "r1", false)).isEqualTo(heard);
		}
	}

	@ParameterizedTest
	@CsvSource({ "HTTP/1.1 200 OK\\r\\nId: r0\\r\\nContent-Length: 2\\r\\n\\r\\nzz",
			"HTTP/1.1 100 Continue\\r\\n\\r\\n" })
	void anAnswerToAnotherRequestIsSkipped(String before) throws Exception {
		// Symptom: a caller gets another caller's answer. Sequence: an endpoint's late
		// answer
		// arrives where the next one is expected. Cause: answers are matched by position.
		try (ScriptedServer server = new ScriptedServer(
				List.of(unescape(before) + OK + "Content-Length: 2\r\n\r\naa"))) {
			Truth.assertThat(send(server, "r1", false)).isEqualTo("200 aa complete");
		}
	}

	@ParameterizedTest
	@CsvSource({ "HTTP/1.1 200 OK\\r\\nId: r1\\r\\nContent-Length: 2\\r\\n\\r\\nxx", "junk" })
	void aConnectionWithBytesThatNobodyAskedForIsNotUsedAgain(String extra) throws Exception {
		try (ScriptedServer server = new ScriptedServer(
				List.of(OK + "Content-Length: 2\r\n\r\naa" + unescape(extra) + "\r\n\r\n", SECOND))) {
			Truth.assertThat(send(server, "r1", false)).isEqualTo("200 aa complete");
			Truth.assertThat(send(server, "r2", false)).isEqualTo("200 bb complete");
			Truth.assertThat(server.connections()).isEqualTo(2);
		}
	}

	@ParameterizedTest
	@CsvSource({ "false, '', 1", "true, '', 2", "false, Connection: close, 2" })
	void aConnectionIsKeptForRequestsThatMayBeRepeated(boolean fresh, String header, int connections) throws Exception {
		String first = OK + (header.isEmpty() ? "" : header + "\r\n") + "Content-Length: 2\r\n\r\naa";
		try (ScriptedServer server = new ScriptedServer(List.of(first, SECOND))) {
			Truth.assertThat(send(server, "r1", false)).isEqualTo("200 aa complete");
			Truth.assertThat(send(server, "r2", fresh)).isEqualTo("200 bb complete");
			Truth.assertThat(server.connections()).isEqualTo(connections);
		}
	}

	@Test
	void aRequestThatReachedNobodyIsSaidToBeUnsent() throws Exception {
		ScriptedServer server = new ScriptedServer(List.of(OK));
		server.close();
		Truth.assertThat(send(server, "r1", false)).isEqualTo("unsent");
	}

	@Test
	void namesTheEndpointThatIsMeantAndKeepsTheCallersHeaders() throws Exception {
		try (ScriptedServer server = new ScriptedServer(List.of(OK + "Content-Length: 0\r\n\r\n"))) {
			send(server, "r1", false);
			Truth.assertThat(server.requests.get(0)).startsWith("GET /quotes?x=1%202 HTTP/1.1\r\n");
			Truth.assertThat(server.requests.get(0)).contains("Expect-Endpoint: e1\r\n");
			Truth.assertThat(server.requests.get(0)).contains("Colour: red\r\n");
		}
	}

	@ParameterizedTest
	@CsvSource({ "1, 1, 1", "1, 2, 2" })
	void aConnectionToAnEarlierStartIsNotUsed(long first, long second, int connections) throws Exception {
		// Symptom: a request is lost although its endpoint is well. Sequence: an endpoint
		// crashes without closing its connections and starts again under its id and
		// address; the next request goes over a kept connection. Cause: only the new
		// process's reset tells that the connection is dead.
		try (ScriptedServer server = new ScriptedServer(List.of(OK + "Content-Length: 2\r\n\r\naa", SECOND))) {
			send(server, new EndpointStart(new EndpointId("e1"), first), "r1", false);
			send(server, new EndpointStart(new EndpointId("e1"), second), "r2", false);
			Truth.assertThat(server.connections()).isEqualTo(connections);
		}
	}

	private String send(ScriptedServer server, String id, boolean fresh) throws Exception {
		return send(server, EndpointStart.untold("e1"), id, fresh);
	}

	private String send(ScriptedServer server, EndpointStart start, String id, boolean fresh) throws Exception {
		Backend to = new Backend(start, new ServiceName("quotes"), HostAndPort.fromParts("127.0.0.1", server.port()),
				new DataCentre("east"), 4, false);
		CallerRequest request = new CallerRequest(id, "GET", "/quotes?x=1%202", "hire.example",
				List.of(new Header("Host", "hire.example"), new Header("Colour", "red")), new byte[0], Optional.empty(),
				Optional.empty(), 0, 0, Optional.empty());
		Listener listener = new Listener();
		this.loop.execute(() -> this.connections.send(to, new OutgoingRequest(request, Optional.empty(),
				Duration.ofSeconds(5), Optional.empty(), List.of(), 5, fresh), listener));
		String heard = listener.ended.get(20, TimeUnit.SECONDS);
		// What follows on the connection has been read when this has run.
		CompletableFuture<Void> settled = new CompletableFuture<>();
		this.loop.schedule(Duration.ofMillis(100), () -> settled.complete(null));
		settled.get(20, TimeUnit.SECONDS);
		return heard;
	}

	private static String unescape(String text) {
		return text.replace("\\r\\n", "\r\n");
	}

	/**
	 * Notes what it hears.
	 */
	private static final class Listener implements BackendListener {

		private final CompletableFuture<String> ended = new CompletableFuture<>();

		private final List<String> heard = new ArrayList<>();

		@Override
		public void head(BackendHead head) {
			this.heard.add(String.valueOf(head.status()));
		}

		@Override
		public void data(byte[] data) {
			this.heard.add(new String(data, StandardCharsets.UTF_8));
		}

		@Override
		public void complete() {
			this.heard.add("complete");
			this.ended.complete(String.join(" ", this.heard));
		}

		@Override
		public void failed(boolean sent, String cause) {
			this.heard.add(sent ? "failed" : "unsent");
			this.ended.complete(String.join(" ", this.heard));
		}

	}

}
