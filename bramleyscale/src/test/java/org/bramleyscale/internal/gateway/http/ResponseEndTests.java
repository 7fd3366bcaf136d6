package org.bramleyscale.internal.gateway.http;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What callers receive for each way in which an endpoint's response is framed and ends,
 * over real sockets.
 */
@Timeout(60)
class ResponseEndTests {

	private static final String HEAD = "HTTP/1.1 200 OK\r\nSignature: s\r\n";

	private static final String FIRST = "id: 1\ndata: a\n\n";

	private static final String SECOND = "id: 2\ndata: bb\n\n";

	private static final String STREAM = FIRST + SECOND;

	private static final String CRLF_STREAM = STREAM.replace("\n", "\r\n");

	/** A response whose framing shows that it is complete. */
	private static final String NEXT = Framing.LENGTH.stream(SECOND, SECOND.length()) + "!close";

	private static final String WHOLE = Framing.LENGTH.stream(STREAM, STREAM.length()) + "!close";

	private static final Route RESUMABLE = route("resumable").streaming(true).resumable(true).maxAttempts(2).build();

	private static final Route PLAIN = route("plain").streaming(true).build();

	private static final Route BUFFERED = route("buffered").build();

	/** Guards against relaying a stream as complete that ended inside an event. */
	@ParameterizedTest
	@CsvSource({ "plain, 1.1", "plain, 1.0", "resumable, 1.1", "resumable, 1.0" })
	void streamWithoutLengthThatEndsInsideAnEventIsBrokenOff(String route, String version) throws IOException {
		for (String stream : List.of(STREAM, CRLF_STREAM)) {
			for (int cut = 1; cut < stream.length(); cut++) {
				String sent = stream.substring(0, cut);
				if (!endsInsideAnEvent(sent)) {
					continue;
				}
				Reception reception = receive(route, version, List.of(Framing.NONE.stream(sent, 0) + "!close"));
				Truth.assertWithMessage("cut at %s of %s", cut, stream).that(reception.succeeded()).isFalse();
				Truth.assertThat(reception.relayedBody()).isEqualTo(wholeEvents(sent));
			}
		}
	}

	/** Guards against resuming after, or relaying, a part of an event. */
	@ParameterizedTest
	@CsvSource({ "NONE, !close", "NONE, !reset", "CHUNKS, !close", "CHUNKS, !reset", "LENGTH, !close",
			"LENGTH, !reset" })
	void brokenStreamResumesAfterItsLastWholeEvent(Framing framing, String end) throws IOException {
		for (int cut = FIRST.length() + 1; cut < STREAM.length() - 1; cut++) {
			String broken = framing.stream(STREAM.substring(0, cut), STREAM.length()) + end;
			Reception reception = receive("resumable", "1.1", List.of(broken, NEXT));
			Truth.assertWithMessage("cut at %s", cut).that(reception.complete()).isTrue();
			Truth.assertThat(reception.body()).isEqualTo(STREAM);
		}
	}

	/**
	 * Guards against taking the end of a resumed stream for whole without looking at it.
	 */
	@ParameterizedTest
	@CsvSource({ "!close", "!reset" })
	void streamThatBreaksOffTwiceIsAborted(String end) throws IOException {
		String second = Framing.NONE.stream("id: 2\ndata:", 0) + end;
		Reception reception = receive("resumable", "1.1",
				List.of(Framing.NONE.stream(FIRST + "id: 2\nda", 0) + "!close", second));
		Truth.assertThat(reception.complete()).isFalse();
		Truth.assertThat(reception.body()).isEqualTo(FIRST);
	}

	/**
	 * Guards against a stream that is left open when its second endpoint doesn't continue
	 * it.
	 */
	@ParameterizedTest
	@CsvSource({ "500 Internal Server Error, 1.1", "500 Internal Server Error, 1.0", "404 Not Found, 1.1",
			"200 OK, 1.1", "200 OK, 1.0", "204 No Content, 1.1", "304 Not Modified, 1.1" })
	void streamThatIsContinuedByAWholeResponseIsAborted(String status, String version) throws IOException {
		String second = "HTTP/1.1 " + status + "\r\nSignature: s\r\nContent-Length: 0\r\n\r\n!close";
		Reception reception = receive("resumable", version, List.of(Framing.NONE.stream(FIRST, 0) + "!reset", second));
		Truth.assertThat(reception.complete()).isFalse();
		Truth.assertThat(reception.body()).isEqualTo(FIRST);
	}

	/**
	 * Guards against taking a stream that was broken off at its start for an empty one.
	 */
	@ParameterizedTest
	@CsvSource({ "plain, ''", "plain, \\n", "resumable, ''", "resumable, \\n" })
	void streamWithoutLengthThatEndsBeforeItsFirstEventIsBrokenOff(String route, String sent) throws IOException {
		Reception reception = receive(route, "1.1",
				List.of(Framing.NONE.stream(sent.replace("\\n", "\n"), 0) + "!close", WHOLE));
		Truth.assertThat(reception.status()).isEqualTo(route.equals("plain") ? 502 : 200);
		Truth.assertThat(reception.relayedBody()).isEqualTo(route.equals("plain") ? "" : STREAM);
	}

	/** Guards against doubting a resumed stream of which nothing was missing. */
	@ParameterizedTest
	@ValueSource(strings = { "", "\n" })
	void resumedStreamMayEndWithoutAnEvent(String rest) throws IOException {
		Reception reception = receive("resumable", "1.1",
				List.of(Framing.NONE.stream(STREAM, 0) + "!reset", Framing.NONE.stream(rest, 0) + "!close"));
		Truth.assertThat(reception.complete()).isTrue();
		Truth.assertThat(reception.body().strip()).isEqualTo(STREAM.strip());
	}

	/** Guards against doubting a stream that is whole. */
	@ParameterizedTest
	@MethodSource("wholeResponses")
	void wholeResponseIsRelayedUnchanged(String route, String version, Framing framing, String body)
			throws IOException {
		Reception reception = receive(route, version, List
			.of((route.equals("buffered") ? framing.response(body, body.length()) : framing.stream(body, body.length()))
					+ "!close"));
		Truth.assertThat(reception.complete()).isTrue();
		Truth.assertThat(reception.body()).isEqualTo(body);
	}

	static Stream<Arguments> wholeResponses() {
		List<Arguments> cases = new ArrayList<>();
		for (String route : List.of("plain", "resumable", "buffered")) {
			for (Framing framing : Framing.values()) {
				for (String body : List.of(STREAM, CRLF_STREAM, STREAM + "\n\r\n", STREAM + "\r", "\n", "")) {
					if (framing == Framing.NONE && body.isBlank() && !route.equals("buffered")) {
						continue;
					}
					cases.add(Arguments.of(route, "1.1", framing, body));
					cases.add(Arguments.of(route, "1.0", framing, body));
				}
			}
		}
		return cases.stream();
	}

	/**
	 * Guards against relaying the bytes of a response that was broken off as all of it.
	 */
	@ParameterizedTest
	@CsvSource({ "NONE, !reset", "CHUNKS, !reset", "CHUNKS, !close", "LENGTH, !reset", "LENGTH, !close" })
	void bufferedResponseThatIsBrokenOffIsNotRelayed(Framing framing, String end) throws IOException {
		for (int cut = 1; cut < STREAM.length(); cut++) {
			Reception reception = receive("buffered", "1.1",
					List.of(framing.response(STREAM.substring(0, cut), STREAM.length()) + end));
			Truth.assertThat(reception.status()).isEqualTo(502);
		}
	}

	/**
	 * Guards against losing the end of a stream that closes while its caller doesn't
	 * read.
	 */
	@ParameterizedTest
	@CsvSource({ "true", "false" })
	void streamThatEndsWhileItsCallerStallsIsJudgedByAllItsBytes(boolean whole) throws IOException {
		String large = "id: 3\ndata: " + "x".repeat(8_000_000) + "\n\n";
		String sent = FIRST + SECOND + large.substring(0, large.length() - (whole ? 0 : 2));
		try (GatewayFixture gateway = start(List.of(Framing.NONE.stream(sent, 0) + "!close"))) {
			Reception reception = Reception.afterStall(gateway, "/plain/1", Duration.ofMillis(300));
			Truth.assertThat(reception.complete()).isEqualTo(whole);
			Truth.assertThat(reception.body().length()).isEqualTo(whole ? sent.length() : STREAM.length());
		}
	}

	private static Reception receive(String route, String version, List<String> responses) throws IOException {
		try (GatewayFixture gateway = start(responses)) {
			return Reception.of(gateway, "/" + route + "/1", version);
		}
	}

	private static GatewayFixture start(List<String> responses) throws IOException {
		return new GatewayFixture(responses, RESUMABLE, PLAIN, BUFFERED);
	}

	private static boolean endsInsideAnEvent(String stream) {
		return !stream.substring(wholeEvents(stream).length()).isBlank();
	}

	private static String wholeEvents(String stream) {
		String end = stream.contains("\r") ? "\r\n\r\n" : "\n\n";
		int last = stream.lastIndexOf(end);
		return (last < 0) ? "" : stream.substring(0, last + end.length());
	}

	private static Route.Builder route(String name) {
		return Route.builder(name, "hire.example", "/" + name + "/").service("yard").timeout(Duration.ofSeconds(10));
	}

	/**
	 * How a response shows its length.
	 */
	enum Framing {

		LENGTH, CHUNKS, NONE;

		/**
		 * Returns a stream of events to send.
		 * @param body the part of the body that is sent
		 * @param length the length of the whole body
		 * @return head and body; without a last chunk if a part is missing
		 */
		String stream(String body, int length) {
			return response(body, length).replace(HEAD, HEAD + "Content-Type: text/event-stream\r\n");
		}

		/**
		 * Returns a response to send that isn't a stream.
		 * @param body the part of the body that is sent
		 * @param length the length of the whole body
		 * @return head and body; without a last chunk if a part is missing
		 */
		String response(String body, int length) {
			return switch (this) {
				case LENGTH -> HEAD + "Content-Length: " + length + "\r\n\r\n" + body;
				case CHUNKS -> HEAD + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body)
						+ ((body.length() == length) ? "0\r\n\r\n" : "");
				case NONE -> HEAD + "\r\n" + body;
			};
		}

		private static String chunk(String body) {
			return body.isEmpty() ? "" : Integer.toHexString(body.length()) + "\r\n" + body + "\r\n";
		}

	}

}
