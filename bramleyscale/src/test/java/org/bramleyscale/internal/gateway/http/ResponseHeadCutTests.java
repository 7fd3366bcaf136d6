package org.bramleyscale.internal.gateway.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.IntStream;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What callers receive if an endpoint's response stops within its head, over real
 * sockets.
 */
@Timeout(60)
class ResponseHeadCutTests {

	/** Fewer than endpoints, so that one without a failure is left for a retry. */
	private static final int CUTS_PER_GATEWAY = 2;

	/** The ways in which the endpoint ends after each cut: up to three. */
	private static final int ENDS_PER_CUT = Integer.getInteger("cut.ends", 1);

	private static final int STALLED_CALLERS = 24;

	private static final String EVENT = "id: 7\ndata: whole\n\n";

	private static final List<String> HEADS = List.of(
			"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: r1\r\nSignature: s\r\n\r\n",
			"HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\nContent-Length: 19\r\n\r\n",
			"HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\nContent-Type: text/event-stream\r\n\r\n",
			"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nId: r1\r\nSignature: s\r\n\r\n",
			"HTTP/1.1 200 OK\r\nConnection: close\r\nId: r1\r\nSignature: s\r\nX: y\r\n\r\n",
			"HTTP/1.0 200 OK\r\nId: r1\r\nSignature: s\r\nX: y\r\n\r\n",
			"HTTP/1.1 204 No Content\r\nId: r1\r\nSignature: s\r\n\r\n",
			"HTTP/1.1 500 Error\r\nContent-Length: 0\r\nId: r1\r\nSignature: s\r\n\r\n",
			"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nId: r1\r\nContent-Length: 0\r\nSignature: s\r\n\r\n",
			"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: r1\r\nSignature: s\r\n\r\n",
			"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nSignature: s\r\nId: r1\r\n\r\n");

	private static final List<String> ENDS = List.of("!close", "!shut", "!reset");

	private static final List<String> ROUTE_NAMES = List.of("book", "watch", "log", "resume");

	private static final Route[] ROUTES = { route("book").build(), route("watch").streaming(true).build(),
			route("log").idempotent(true).maxAttempts(2).build(),
			route("resume").streaming(true).resumable(true).maxAttempts(2).build() };

	static IntStream heads() {
		return IntStream.range(0, HEADS.size());
	}

	/** Guards against taking a part of a head for a whole response without a body. */
	@ParameterizedTest
	@MethodSource("heads")
	void responseThatEndsWithinItsHeadIsNotRelayed(int head) throws IOException {
		String whole = HEADS.get(head);
		for (int end = 0; end < ENDS_PER_CUT; end++) {
			for (int from = 0; from < whole.length(); from += CUTS_PER_GATEWAY) {
				int to = Math.min(whole.length(), from + CUTS_PER_GATEWAY);
				checkOnFreshConnections(head, end, IntStream.range(from, to).toArray());
			}
		}
	}

	/** Guards against a part of a head that earlier responses make look whole. */
	@ParameterizedTest
	@MethodSource("heads")
	void responseThatEndsWithinItsHeadOnAReusedConnectionIsNotRelayed(int head) throws IOException {
		String whole = HEADS.get(head);
		for (int cut = head % 3; cut < whole.length(); cut += 3) {
			Ask ask = Ask.drawn(cut / 3 + head).repeatable();
			String broken = whole.substring(0, cut) + ENDS.get(cut / 3 % ENDS.size());
			try (GatewayFixture gateway = new GatewayFixture(List.of(ask.sound(), broken, ask.sound()), ROUTES)) {
				check(gateway, ask, "a whole response");
				check(gateway, ask, broken);
				// The first two responses come on one connection, or the case isn't this
				// one.
				Truth.assertThat(gateway.endpoint.requests).hasSize(3);
				Truth.assertThat(gateway.endpoint.connections()).isEqualTo(2);
			}
		}
	}

	/** Guards against a success, or a caller held, if the rest of a head never comes. */
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void responseThatStallsWithinItsHeadFailsInTime(boolean reused) {
		List<CompletableFuture<Void>> checks = new ArrayList<>();
		ExecutorService callers = Executors.newFixedThreadPool(STALLED_CALLERS);
		for (String whole : HEADS) {
			for (int cut : IntStream.of(0, 9, 12, 17, 30, whole.length() / 2, whole.length() - 3, whole.length() - 1)
				.toArray()) {
				Ask drawn = Ask.drawn(checks.size());
				Ask ask = reused ? drawn.repeatable() : drawn;
				checks
					.add(CompletableFuture.runAsync(() -> checkStalled(ask, whole.substring(0, cut), reused), callers));
			}
		}
		checks.forEach(CompletableFuture::join);
		callers.shutdown();
	}

	private static void checkOnFreshConnections(int head, int end, int[] cuts) throws IOException {
		List<String> responses = new ArrayList<>();
		for (int cut : cuts) {
			Ask ask = Ask.drawn(cut + head);
			responses.add(HEADS.get(head).substring(0, cut) + ENDS.get((cut + head + end) % ENDS.size()));
			if (ask.mayRepeat()) {
				responses.add(ask.sound() + "!close");
			}
		}
		try (GatewayFixture gateway = new GatewayFixture(responses, ROUTES)) {
			for (int cut : cuts) {
				check(gateway, Ask.drawn(cut + head), responses.toString());
			}
			Truth.assertThat(gateway.endpoint.requests).hasSize(responses.size());
			Truth.assertThat(gateway.endpoint.connections()).isEqualTo(responses.size());
		}
	}

	private static void check(GatewayFixture gateway, Ask ask, String responses) throws IOException {
		Reception reception = Reception.of(gateway, ask.request(""));
		String name = ask + " of " + responses;
		Truth.assertWithMessage(name).that(reception.complete()).isTrue();
		Truth.assertWithMessage(name).that(reception.status()).isEqualTo(ask.mayRepeat() ? 200 : 502);
		Truth.assertWithMessage(name).that(reception.relayedBody()).isEqualTo(ask.mayRepeat() ? ask.body() : "");
	}

	private static void checkStalled(Ask ask, String cut, boolean reused) {
		List<String> responses = reused ? List.of(ask.sound(), cut, cut) : List.of(cut);
		try (GatewayFixture gateway = new GatewayFixture(responses, ROUTES)) {
			if (reused) {
				Truth.assertThat(Reception.of(gateway, ask.request("")).status()).isEqualTo(200);
			}
			long begun = System.nanoTime();
			Reception reception = Reception.of(gateway, ask.request("Time-Left: 400\r\n"));
			String name = ask + " after " + cut;
			Truth.assertWithMessage(name).that(reception.status()).isIn(List.of(502, 504));
			Truth.assertWithMessage(name)
				.that(Duration.ofNanos(System.nanoTime() - begun))
				.isLessThan(Duration.ofSeconds(4));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static Route.Builder route(String name) {
		return Route.builder(name, "hire.example", "/" + name + "/").service("yard").timeout(Duration.ofSeconds(10));
	}

	/**
	 * How a caller asks.
	 *
	 * @param route the name of the route
	 * @param method the method
	 * @param version the version of HTTP
	 */
	private record Ask(String route, String method, String version) {

		static Ask drawn(int number) {
			return new Ask(ROUTE_NAMES.get(number % 4), (number / 4 % 4 == 3) ? "HEAD" : "GET",
					(number / 4 % 2 == 0) ? "1.1" : "1.0");
		}

		boolean mayRepeat() {
			return this.route.equals("log") || this.route.equals("resume");
		}

		/** Requests that may run once get a connection of their own. */
		Ask repeatable() {
			String repeatable = this.route.equals("book") ? "log" : this.route.equals("watch") ? "resume" : this.route;
			return new Ask(repeatable, this.method, this.version);
		}

		String request(String fields) {
			return this.method + " /" + this.route + "/1 HTTP/" + this.version
					+ "\r\nHost: hire.example\r\nId: r1\r\nConnection: close\r\n" + fields + "\r\n";
		}

		String body() {
			return this.method.equals("HEAD") ? "" : EVENT;
		}

		String sound() {
			String type = this.route.equals("resume") ? "Content-Type: text/event-stream\r\n" : "";
			return "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\n" + type + "Content-Length: " + EVENT.length()
					+ "\r\n\r\n" + body();
		}

	}

}
