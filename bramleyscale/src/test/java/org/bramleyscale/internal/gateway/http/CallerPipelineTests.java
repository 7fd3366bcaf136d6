package org.bramleyscale.internal.gateway.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.LongStream;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What callers receive on a connection that carries several requests, over real sockets.
 */
@Timeout(60)
class CallerPipelineTests {

	private static final int SEEDS = Integer.getInteger("pipeline.seeds", 60);

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.1 (\\d{3}) [^\r]*\r\n");

	private static final Route[] ROUTES = { route("book").build(), route("watch").streaming(true).build() };

	private static final String EVENTS = "id: 1\ndata: a\n\n";

	static LongStream seeds() {
		return LongStream.rangeClosed(1, SEEDS);
	}

	/** Guards against answers out of order, cut, swapped or sent to nobody. */
	@ParameterizedTest
	@MethodSource("seeds")
	void pipelinedRequestsReceiveTheirOwnResponses(long seed) throws IOException {
		Random random = new Random(seed);
		List<Sent> all = new ArrayList<>();
		int count = 1 + random.nextInt(8);
		for (int i = 0; i < count; i++) {
			Sent sent = Sent.drawn(i, random);
			all.add(sent);
			if (sent.last()) {
				break;
			}
		}
		all.add(new Sent("GET /gone/x HTTP/1.1\r\nHost: hire.example\r\nConnection: close\r\n\r\n", "", 404, null));
		List<String> responses = all.stream().map(Sent::response).filter((text) -> !text.isEmpty()).toList();
		try (GatewayFixture gateway = new GatewayFixture(responses.isEmpty() ? List.of("") : responses, ROUTES)) {
			StringBuilder bytes = new StringBuilder();
			all.forEach((sent) -> bytes.append(sent.request()));
			Received received = exchange(gateway, bytes.toString(), random);
			received.check(all, "seed " + seed);
		}
	}

	/** Guards against a 100 that makes the next response look like one to a HEAD. */
	@ParameterizedTest
	@CsvSource({ "POST, book, HEAD, book", "POST, watch, HEAD, book", "HEAD, book, GET, book",
			"HEAD, watch, GET, watch", "HEAD, watch, HEAD, watch", "POST, book, GET, book", "GET, watch, HEAD, watch" })
	void responseAfterAnInterimOneHasTheBodyOfItsOwnRequest(String first, String firstRoute, String second,
			String secondRoute) throws IOException {
		Sent expecting = Sent.of(0, first, firstRoute, "Expect: 100-continue\r\n", 200);
		Sent next = Sent.of(1, second, secondRoute, "Connection: close\r\n", 200);
		try (GatewayFixture gateway = new GatewayFixture(List.of(expecting.response(), next.response()), ROUTES)) {
			Received received = exchange(gateway, expecting.request() + next.request(), new Random(1));
			received.check(List.of(expecting, next), first + " and " + second);
		}
	}

	/** Guards against bytes after a head that has no body. */
	@ParameterizedTest
	@CsvSource({ "HEAD, 200", "HEAD, 404", "HEAD, 500", "HEAD, 204", "GET, 204", "GET, 304", "POST, 204", "POST, 304",
			"HEAD, 304" })
	void responseWithoutBodyIsFollowedByNothing(String method, int status) throws IOException {
		for (String route : List.of("book", "watch")) {
			Sent bare = Sent.of(0, method, route, "", status);
			String stray = bare.response().replace("!close", "stray bytes!close");
			Sent next = Sent.of(1, "GET", "book", "Connection: close\r\n", 200);
			try (GatewayFixture gateway = new GatewayFixture(List.of(stray, next.response()), ROUTES)) {
				Received received = exchange(gateway, bare.request() + next.request(), new Random(1));
				received.check(List.of(bare, next), method + " " + status);
			}
		}
	}

	/** Guards against a refusal that overtakes a response or is followed by one. */
	@ParameterizedTest
	@ValueSource(strings = { "G", "GET /book/1 HTTP/1.1\r\nHost: hire.example\r\nId: i1\r\n",
			"POST /book/1 HTTP/1.1\r\nHost: hire.example\r\nContent-Length: 5\r\n\r\nab",
			"POST /book/1 HTTP/1.1\r\nHost: hire.example\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n" })
	void requestThatStallsBehindAnotherIsRefusedAfterIt(String part) throws IOException {
		Sent whole = Sent.of(0, "GET", "book", "", 200);
		Sent stalled = Sent.refused(part, 408);
		try (GatewayFixture gateway = new GatewayFixture(List.of(whole.response()), ROUTES)) {
			Received received = exchange(gateway, whole.request() + part, new Random(1));
			received.check(List.of(whole, stalled), part);
			Truth.assertThat(gateway.endpoint.requests).hasSize(1);
		}
	}

	/** Guards against the rest of an abandoned response on a later connection. */
	@Test
	void restOfAnAbandonedResponseReachesNobody() throws IOException {
		Sent abandoned = Sent.of(0, "GET", "watch", "", 200);
		Sent next = Sent.of(1, "GET", "book", "Connection: close\r\n", 200);
		String endless = "HTTP/1.1 200 OK\r\nId: i0\r\nSignature: s\r\nContent-Type: text/event-stream\r\n\r\n" + EVENTS
				+ "!repeatdata: rest\n\n!endless";
		List<String> responses = List.of(endless, next.response(), endless, next.response());
		try (GatewayFixture gateway = new GatewayFixture(responses, ROUTES)) {
			for (int i = 0; i < 2; i++) {
				try (Socket socket = new Socket("127.0.0.1", gateway.port)) {
					socket.getOutputStream()
						.write((abandoned.request() + next.request()).getBytes(StandardCharsets.ISO_8859_1));
					Truth.assertThat(socket.getInputStream().readNBytes(200)).hasLength(200);
					socket.setSoLinger(true, 0);
				}
				Truth.assertThat(gateway.endpoint.awaitEndOfEndless(Duration.ofSeconds(2))).isTrue();
				exchange(gateway, next.request(), new Random(1)).check(List.of(next), "after the abandoned one");
			}
			Truth.assertThat(gateway.endpoint.requests).hasSize(4);
		}
	}

	/** Guards against a response that can't be ended because its connection is gone. */
	@Test
	void responseOfAResetConnectionEndsWithoutFault() throws IOException {
		String endless = "HTTP/1.1 200 OK\r\nId: i0\r\nSignature: s\r\nContent-Type: text/event-stream\r\n\r\n" + EVENTS
				+ "!repeatdata: rest\n\n!endless";
		List<String> faults = new CopyOnWriteArrayList<>();
		Logger logger = Logger.getLogger("io.netty.channel.AbstractChannelHandlerContext");
		Handler recorder = new Recorder(faults);
		logger.addHandler(recorder);
		try (GatewayFixture gateway = new GatewayFixture(List.of(endless), ROUTES)) {
			for (int i = 0; i < 10; i++) {
				try (Socket socket = new Socket("127.0.0.1", gateway.port)) {
					socket.getOutputStream()
						.write(Sent.of(0, "GET", "watch", "", 200).request().getBytes(StandardCharsets.ISO_8859_1));
					Truth.assertThat(socket.getInputStream().readNBytes(200)).hasLength(200);
					socket.setSoLinger(true, 0);
				}
				Truth.assertThat(gateway.endpoint.awaitEndOfEndless(Duration.ofSeconds(2))).isTrue();
			}
			Truth.assertThat(gateway.heldBytes.total()).isEqualTo(0);
		}
		finally {
			logger.removeHandler(recorder);
		}
		Truth.assertThat(faults).isEmpty();
	}

	private static Received exchange(GatewayFixture gateway, String request, Random random) throws IOException {
		byte[] bytes = request.getBytes(StandardCharsets.ISO_8859_1);
		ByteArrayOutputStream read = new ByteArrayOutputStream();
		boolean reset = false;
		try (Socket socket = new Socket("127.0.0.1", gateway.port)) {
			socket.setSoTimeout(20_000);
			socket.setTcpNoDelay(true);
			try {
				int sent = 0;
				while (sent < bytes.length) {
					int length = Math.min(bytes.length - sent, 1 + random.nextInt(random.nextBoolean() ? 20 : 2_000));
					socket.getOutputStream().write(bytes, sent, length);
					sent += length;
				}
				socket.getInputStream().transferTo(read);
			}
			catch (SocketException ex) {
				reset = true;
			}
		}
		return new Received(read.toString(StandardCharsets.ISO_8859_1), reset);
	}

	private static Route.Builder route(String name) {
		return Route.builder(name, "hire.example", "/" + name + "/").service("yard").timeout(Duration.ofSeconds(10));
	}

	/**
	 * Records the messages of a logger.
	 */
	private static final class Recorder extends Handler {

		private final List<String> messages;

		Recorder(List<String> messages) {
			this.messages = messages;
		}

		@Override
		public void publish(LogRecord message) {
			this.messages.add(message.getMessage());
		}

		@Override
		public void flush() {
			// Messages are recorded at once.
		}

		@Override
		public void close() {
			// There is nothing to close.
		}

	}

	/**
	 * A request, its endpoint's response and what its caller is owed.
	 *
	 * @param request the bytes of the request
	 * @param response what the endpoint sends; empty if the request isn't passed on
	 * @param status the status that the caller receives, or 0 for a reset
	 * @param body the whole body that it receives; null for one that the gateway chooses
	 */
	private record Sent(String request, String response, int status, String body) {

		static Sent drawn(int number, Random random) {
			String method = List.of("GET", "POST", "HEAD", "CHUNKS").get(random.nextInt(4));
			String route = random.nextBoolean() ? "book" : "watch";
			Sent sound = of(number, method, route, (random.nextInt(6) == 0) ? "Expect: 100-continue\r\n" : "", 200);
			boolean head = method.equals("HEAD");
			return switch (random.nextInt(14)) {
				case 0 -> new Sent(
						sound.request, "HTTP/1.1 500 Error\r\nSignature: s\r\nId: i" + number
								+ "\r\nContent-Length: 3\r\n\r\n" + (head ? "" : "e" + number + "!") + "!close",
						500, head ? "" : "e" + number + "!");
				case 1 ->
					new Sent(sound.request, "HTTP/1.1 200 OK\r\nSignature: s\r\nId: i!close", 502, head ? "" : null);
				case 2 -> new Sent(sound.request, "!reset", 502, head ? "" : null);
				case 3 -> new Sent("GET /gone/x HTTP/1.1\r\nHost: hire.example\r\n\r\n", "", 404, null);
				case 4 -> of(number, method, route, "", 204);
				case 5 -> refused("GET /book/1 HTTP/9.x.1\r\n\r\n", 400);
				case 6 -> refused("POST /book/1 HTTP/1.1\r\nContent-Length: 2001\r\n\r\n", 413);
				case 7 -> refused("GET /book/1 HTTP/1.1\r\nX: " + "x".repeat(1_200) + "\r\n\r\n", 431);
				default -> sound;
			};
		}

		static Sent refused(String request, int status) {
			return new Sent(request, "", status, "");
		}

		static Sent of(int number, String method, String route, String fields, int status) {
			boolean chunks = method.equals("CHUNKS");
			String request = (chunks ? "POST" : method) + " /" + route + "/" + number
					+ " HTTP/1.1\r\nHost: hire.example\r\nId: i" + number + "\r\n" + fields;
			if (chunks) {
				request += "Transfer-Encoding: chunked\r\n\r\n5\r\nGET /\r\n3\r\nabc\r\n0\r\n\r\n";
			}
			else if (method.equals("POST")) {
				request += "Content-Length: 8\r\n\r\nHEAD /\r\n";
			}
			else {
				request += "\r\n";
			}
			boolean stream = route.equals("watch");
			String body = stream ? EVENTS.replace("a\n", "n" + number + "\n") : "body" + number;
			boolean empty = method.equals("HEAD") || status == 204 || status == 304;
			String response = "HTTP/1.1 " + status + " Status\r\nSignature: s\r\nId: i" + number + "\r\n"
					+ (stream ? "Content-Type: text/event-stream\r\n" : "")
					+ ((status == 204) ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n"
					+ (empty ? "" : body) + "!close";
			return new Sent(request, response, status, empty ? "" : body);
		}

		boolean last() {
			return this.status == 400 || this.status == 408 || this.status == 413 || this.status == 431;
		}

	}

	/**
	 * What a caller has received.
	 *
	 * @param bytes all bytes
	 * @param reset whether the connection was reset
	 */
	private record Received(String bytes, boolean reset) {

		void check(List<Sent> all, String name) {
			String rest = this.bytes;
			Truth.assertWithMessage("%s: %s", name, this.bytes).that(this.reset).isFalse();
			for (int i = 0; i < all.size(); i++) {
				Sent sent = all.get(i);
				if (i > 0 && all.get(i - 1).last()) {
					break;
				}
				rest = checkOne(sent, rest, name + ", request " + i + ": " + this.bytes);
			}
			Truth.assertWithMessage("%s: %s", name, this.bytes).that(rest).isEmpty();
		}

		private static String checkOne(Sent sent, String bytes, String name) {
			String rest = bytes;
			String interim = "HTTP/1.1 100 Continue\r\n\r\n";
			if (sent.request().contains("Expect: ") && rest.startsWith(interim)) {
				rest = rest.substring(interim.length());
			}
			Matcher line = STATUS_LINE.matcher(rest);
			Truth.assertWithMessage(name).that(line.lookingAt()).isTrue();
			Truth.assertWithMessage(name).that(line.group(1)).isEqualTo(String.valueOf(sent.status()));
			int end = rest.indexOf("\r\n\r\n") + 4;
			String head = rest.substring(0, end).toLowerCase(java.util.Locale.ROOT);
			Matcher id = Pattern.compile("\r\nid: (\\S+)\r\n").matcher(head);
			if (id.find()) {
				Truth.assertWithMessage(name).that(sent.request()).contains("Id: " + id.group(1));
			}
			rest = rest.substring(end);
			if (sent.body() != null && sent.body().isEmpty()) {
				return rest;
			}
			int length = bodyLength(head, rest);
			String body = head.contains("chunked") ? rest.substring(0, length).replaceAll("(?m)^[0-9a-f]+\r\n|\r\n", "")
					: rest.substring(0, length);
			if (sent.body() != null) {
				Truth.assertWithMessage(name).that(body).isEqualTo(sent.body());
			}
			return rest.substring(length);
		}

		private static int bodyLength(String head, String rest) {
			Matcher length = Pattern.compile("\r\ncontent-length: (\\d+)\r\n").matcher(head);
			return length.find() ? Integer.parseInt(length.group(1)) : rest.indexOf("\r\n0\r\n\r\n") + 7;
		}

	}

}
