package org.bramleyscale.internal.gateway.http;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import com.google.common.net.HostAndPort;
import com.google.common.truth.Truth;
import io.netty.handler.codec.http.HttpMethod;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What callers and calls receive if a status line is none that HTTP/1 defines, over real
 * sockets.
 */
@Timeout(60)
class ResponseStatusLineTests {

	private static final String FIELDS = "\r\nId: r1\r\nSignature: s\r\nContent-Length: 2\r\n\r\n";

	private static final int FAILED = -1;

	private static final String SOUND = "HTTP/1.1 200 OK" + FIELDS + "ok";

	static final List<String> ODD_LINES = List.of("HTTP/1.1 000 None", "HTTP/1.1 000", "HTTP/1.1 001 Odd",
			"HTTP/1.1 042 Odd", "HTTP/1.1 099 Odd", "HTTP/1.1 600 Odd", "HTTP/1.1 700 Odd", "HTTP/1.1 999 Odd",
			"HTTP/0.9 200 OK", "HTTP/1.2 200 OK", "HTTP/2.0 200 OK", "HTTP/9.9 200 OK", "HTTP/1.1 2000 OK",
			"HTTP/1.1 20 OK", "HTTP/1.1 +20 OK", "HTTP/1.10 200 OK", "http/1.1 200 OK", "ICY 200 OK");

	static Stream<Arguments> oddLines() {
		return ODD_LINES.stream()
			.flatMap((line) -> Stream.of("book", "watch", "log", "resume").map((route) -> Arguments.of(line, route)));
	}

	/** Guards against a status that is none and reaches callers with a signature. */
	@ParameterizedTest
	@MethodSource("oddLines")
	void responseWithAnOddStatusLineIsNotRelayed(String line, String route) throws IOException {
		boolean repeatable = route.equals("log") || route.equals("resume");
		List<String> responses = repeatable ? List.of(line + FIELDS + "ok", SOUND) : List.of(line + FIELDS + "ok");
		try (GatewayFixture gateway = new GatewayFixture(responses, route("book").build(),
				route("watch").streaming(true).build(), route("log").idempotent(true).maxAttempts(2).build(),
				route("resume").streaming(true).resumable(true).maxAttempts(2).build())) {
			Reception reception = Reception.of(gateway, "POST /" + route
					+ "/1 HTTP/1.1\r\nHost: hire.example\r\nId: r1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
			Truth.assertThat(reception.complete()).isTrue();
			Truth.assertThat(reception.status()).isEqualTo(repeatable ? 200 : 502);
		}
	}

	/** Guards against an answer of the store that is none. */
	@ParameterizedTest
	@MethodSource("lines")
	void callFailsIfItsResponseHasAnOddStatusLine(String line) throws Exception {
		Truth.assertThat(call(line)).isEqualTo(FAILED);
	}

	static Stream<String> lines() {
		return ODD_LINES.stream();
	}

	/** Guards against refusing what HTTP/1 allows. */
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.1 599 Own",
			"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK", "HTTP/1.1 199 Own\r\n\r\nHTTP/1.1 200 OK" })
	void callSucceedsWithEachStatusLineOfHttp(String line) throws Exception {
		Truth.assertThat(call(line)).isAnyOf(200, 599);
	}

	private static int call(String line) throws Exception {
		NettyLoop loop = new NettyLoop("test");
		try (ScriptedServer server = new ScriptedServer(List.of(line + FIELDS + "{}"))) {
			JsonClient client = new JsonClient(loop, HostAndPort.fromParts("127.0.0.1", server.port()));
			CompletableFuture<Integer> status = new CompletableFuture<>();
			loop.execute(() -> client.call(HttpMethod.GET, "/objects", new byte[0], Duration.ofSeconds(2))
				.whenComplete((response, failure) -> status.complete((failure != null) ? FAILED : response.status())));
			return status.get(10, TimeUnit.SECONDS);
		}
		finally {
			loop.close();
		}
	}

	private static Route.Builder route(String name) {
		return Route.builder(name, "hire.example", "/" + name + "/").service("yard").timeout(Duration.ofSeconds(10));
	}

}
