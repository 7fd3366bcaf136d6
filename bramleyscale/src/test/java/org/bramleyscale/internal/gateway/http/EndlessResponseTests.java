package org.bramleyscale.internal.gateway.http;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * What callers receive, and what the gateway reads and holds, while endpoints send
 * without end until their connection is closed, over real sockets.
 */
@Timeout(60)
class EndlessResponseTests {

	private static final String SIGNED = "HTTP/1.1 200 OK\r\nSignature: s\r\n";

	private static final int CALLERS = 8;

	/** By name: what an endpoint sends once, and what it repeats. */
	private static final Map<String, String> ENDLESS = Map.ofEntries(
			Map.entry("interim", "!repeatHTTP/1.1 100 Continue\r\n\r\n"),
			Map.entry("interim with fields", "!repeatHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"),
			Map.entry("empty lines", "!repeat\r\n"), Map.entry("nulls", "!repeat\0"),
			Map.entry("one line", "!repeatHTTP"), Map.entry("fields", SIGNED + "!repeatX: y\r\n"),
			Map.entry("one field", SIGNED + "X: !repeaty"), Map.entry("whole", SIGNED + "\r\n!repeatz"),
			Map.entry("whole in chunks", SIGNED + "Transfer-Encoding: chunked\r\n\r\n!repeat1\r\nz\r\n"),
			Map.entry("chunk extension", SIGNED + "Transfer-Encoding: chunked\r\n\r\n1;!repeatx"),
			Map.entry("trailers", SIGNED + "Transfer-Encoding: chunked\r\n\r\n0\r\n!repeatX: y\r\n"),
			Map.entry("failure", "HTTP/1.1 500 Error\r\nSignature: s\r\n\r\n!repeatz"),
			Map.entry("refusal", "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n\r\n!repeatz"),
			Map.entry("refusal in chunks",
					"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n!repeat1\r\nz\r\n"),
			Map.entry("unsigned", "HTTP/1.1 200 OK\r\n\r\n!repeatz"),
			Map.entry("of another request", "HTTP/1.1 200 OK\r\nId: other\r\nSignature: s\r\n\r\n!repeatz"),
			Map.entry("of another request in chunks",
					"HTTP/1.1 200 OK\r\nId: other\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n!repeat1\r\nz\r\n"),
			Map.entry("event", SIGNED + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: !repeatz"),
			Map.entry("line ends between events", SIGNED + "Content-Type: text/event-stream\r\n\r\n!repeat\n"));

	static Stream<Arguments> endless() {
		List<Arguments> cases = new ArrayList<>();
		ENDLESS.keySet().stream().sorted().forEach((name) -> {
			cases.add(Arguments.of(name, "resumable"));
			cases.add(Arguments.of(name, "log"));
			cases.add(Arguments.of(name, "book"));
		});
		return cases.stream();
	}

	/** Guards against callers held, and a heap filled, by bytes without end. */
	@ParameterizedTest
	@MethodSource("endless")
	void bytesWithoutEndAreCutOff(String name, String route) throws Exception {
		String sound = SIGNED + (route.equals("resumable") ? "Content-Type: text/event-stream\r\n" : "")
				+ "Content-Length: 14\r\n\r\nid: 1\ndata: a\n\n!close";
		List<String> responses = new ArrayList<>();
		for (int i = 0; i < CALLERS; i++) {
			responses.add(ENDLESS.get(name) + "!endless");
		}
		responses.add(sound);
		try (GatewayFixture gateway = new GatewayFixture(responses, ROUTES)) {
			List<CompletableFuture<Reception>> receptions = new ArrayList<>();
			long begun = System.nanoTime();
			for (int i = 0; i < CALLERS; i++) {
				receptions.add(CompletableFuture.supplyAsync(() -> receive(gateway, route)));
			}
			int served = 0;
			for (CompletableFuture<Reception> reception : receptions) {
				int status = reception.get().status();
				Truth.assertThat(status).isIn(List.of(200, 502, 503));
				served += (status == 200) ? 1 : 0;
			}
			if (!route.equals("book")) {
				Truth.assertThat(served).isAtLeast(CALLERS / 2);
			}
			Truth.assertThat(Duration.ofNanos(System.nanoTime() - begun)).isLessThan(Duration.ofSeconds(4));
			Truth.assertThat(gateway.endpoint.awaitEndOfEndless(Duration.ofSeconds(2))).isTrue();
			Truth.assertThat(gateway.heldBytes.total()).isEqualTo(0);
		}
	}

	private static final Route[] ROUTES = { route("resumable").streaming(true).resumable(true).maxAttempts(3).build(),
			route("log").idempotent(true).maxAttempts(3).build(), route("book").build() };

	private static Reception receive(GatewayFixture gateway, String route) {
		try {
			return Reception.of(gateway, "/" + route + "/1", "1.1");
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static Route.Builder route(String name) {
		return Route.builder(name, "hire.example", "/" + name + "/").service("yard").timeout(Duration.ofSeconds(10));
	}

}
