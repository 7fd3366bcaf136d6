package org.bramleyscale.internal.gateway.http;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.net.HostAndPort;
import com.google.common.truth.Truth;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Contract tests of {@link JsonClient} over real sockets.
 */
@Timeout(30)
class JsonClientTests {

	private static final Duration LIMIT = Duration.ofSeconds(5);

	private final NettyLoop loop = new NettyLoop("test");

	@AfterEach
	void close() {
		this.loop.close();
	}

	/** Guards against reading a part of the store's list as all of it. */
	@ParameterizedTest
	@CsvSource(delimiter = '|',
			value = { "Content-Length: 2\\r\\n\\r\\n{} | {}", "\\r\\n{}!close | {}", "\\r\\n{}!reset | failed",
					"Content-Length: 4\\r\\n\\r\\n{}!close | failed", "Content-Length: 4\\r\\n\\r\\n{}!reset | failed",
					"Transfer-Encoding: chunked\\r\\n\\r\\n2\\r\\n{}\\r\\n!close | failed" })
	void responseIsCompleteOnlyByItsOwnFraming(String rest, String received) throws Exception {
		try (ScriptedServer server = new ScriptedServer(
				List.of("HTTP/1.1 200 OK\r\n" + rest.replace("\\r\\n", "\r\n")))) {
			Truth.assertThat(call(server).get(20, TimeUnit.SECONDS)).isEqualTo(received);
		}
	}

	/** Guards against taking the end that this side makes for the end of a response. */
	@Test
	void responseWithoutLengthIsBrokenOffIfTheClientShutsDown() throws Exception {
		try (ScriptedServer server = new ScriptedServer(List.of("HTTP/1.1 200 OK\r\n\r\n{}"))) {
			CompletableFuture<String> received = call(server);
			CompletableFuture<Void> settled = new CompletableFuture<>();
			this.loop.schedule(Duration.ofMillis(300), () -> settled.complete(null));
			settled.get(20, TimeUnit.SECONDS);
			this.loop.close();
			Truth.assertThat(received.get(20, TimeUnit.SECONDS)).isEqualTo("failed");
		}
	}

	/**
	 * Guards against a copy of an earlier response that is taken for that to a call of
	 * another kind.
	 */
	@ParameterizedTest
	@CsvSource({ "GET /a GET /a GET /a?after=x, 1", "GET /a GET /b GET /a GET /b, 2", "GET /a POST /a, 2",
			"GET /a POST /a GET /a, 2", "POST /a POST /a, 2", "GET /a/b DELETE /a/b PUT /a/b GET /a/b, 3" })
	void connectionsCarryReadsOfOnePathOrOneChange(String calls, int connections) throws Exception {
		try (ScriptedServer server = new ScriptedServer(List.of("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))) {
			JsonClient client = client(server);
			String[] words = calls.split(" ");
			for (int i = 0; i < words.length; i += 2) {
				Truth.assertThat(call(client, words[i], words[i + 1]).get(20, TimeUnit.SECONDS)).isEqualTo("{}");
			}
			Truth.assertThat(server.connections()).isEqualTo(connections);
		}
	}

	/** Guards against connections of orders that nobody uses and nobody closes. */
	@Test
	void connectionOfAChangeIsClosedAfterItsResponse() throws Exception {
		try (ScriptedServer server = new ScriptedServer(List.of("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))) {
			Truth.assertThat(call(client(server), "POST", "/orders").get(20, TimeUnit.SECONDS)).isEqualTo("{}");
			Truth.assertThat(server.awaitEnded(1, LIMIT)).isTrue();
		}
	}

	/** Guards against keeping the connections of every path that was ever read. */
	@Test
	void connectionIdleForLongestIsClosedIfThereAreTooMany() throws Exception {
		try (ScriptedServer server = new ScriptedServer(List.of("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))) {
			JsonClient client = client(server);
			for (String path : List.of("/a", "/b", "/c", "/d", "/e", "/e", "/b")) {
				call(client, "GET", path).get(20, TimeUnit.SECONDS);
			}
			Truth.assertThat(server.awaitEnded(1, LIMIT)).isTrue();
			Truth.assertThat(server.connections()).isEqualTo(5);
		}
	}

	private CompletableFuture<String> call(ScriptedServer server) {
		return call(client(server), "GET", "/objects");
	}

	private JsonClient client(ScriptedServer server) {
		return new JsonClient(this.loop, HostAndPort.fromParts("127.0.0.1", server.port()));
	}

	private CompletableFuture<String> call(JsonClient client, String method, String target) {
		CompletableFuture<String> received = new CompletableFuture<>();
		this.loop.execute(() -> client.call(HttpMethod.valueOf(method), target, new byte[0], LIMIT)
			.whenComplete((response, failure) -> received
				.complete((failure != null) ? "failed" : new String(response.body()))));
		return received;
	}

}
