package org.bramleyscale.internal.gateway.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Plays drawn and given bytes of a server against the handlers of a connection of
 * {@link JsonClient}, where only its position tells the call of a response. Other seeds:
 * {@code -Dbytes.seeds=17,18}.
 */
class JsonClientBytesTests {

	private static final int MAX_CALLS = 5;

	private static final String WHOLE = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}";

	/**
	 * Guards against a response that is put together from the bytes of several, and
	 * against a call on a connection with bytes that belong to no whole response.
	 */
	@ParameterizedTest
	@MethodSource("org.bramleyscale.internal.gateway.http.ResponseBytesTests#seeds")
	void callsReceiveOneWholeResponseOrNone(long seed) {
		Random random = new Random(seed);
		for (int i = 0; i < 500; i++) {
			new DrawnConnection(random, seed + ", connection " + i, true).play();
		}
	}

	/** Guards against failing calls whose server sends nothing but responses. */
	@ParameterizedTest
	@MethodSource("org.bramleyscale.internal.gateway.http.ResponseBytesTests#seeds")
	void soundResponsesReachTheirCallsOnOneConnection(long seed) {
		Random random = new Random(seed);
		for (int i = 0; i < 100; i++) {
			new DrawnConnection(random, seed + ", connection " + i, false).play();
		}
	}

	/** Guards against a call that a part of a response completes. */
	@ParameterizedTest
	@CsvSource({ "close, true", "close, false", "reset, true", "reset, false" })
	void partOfAResponseFailsItsCall(String end, boolean first) {
		Random random = new Random(1);
		for (int i = 0; i < 50; i++) {
			ScriptedResponse response = ScriptedResponse.draw(random, "r" + i, false);
			boolean byConnection = response.framing() == ScriptedResponse.Framing.CONNECTION;
			int parts = byConnection ? response.headLength() : response.bytes().length();
			for (int length = 0; length < parts; length++) {
				JsonExchange exchange = first ? new JsonExchange() : used();
				exchange.call();
				exchange.read(response.bytes().substring(0, length));
				if (end.equals("close")) {
					exchange.closeByServer();
				}
				else {
					exchange.reset();
				}
				Truth.assertWithMessage("%s of %s ended", length, response).that(exchange.ended()).isTrue();
				Truth.assertWithMessage("%s of %s", length, response).that(exchange.succeeded()).isFalse();
				exchange.close();
			}
		}
	}

	/** Guards against an interim response that completes a call. */
	@Test
	void interimResponsesPrecedeTheResponse() {
		JsonExchange exchange = used();
		exchange.call();
		exchange.read("HTTP/1.1 100 Continue\r\n\r\n");
		exchange.read("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
		Truth.assertThat(exchange.ended()).isFalse();
		exchange.read(WHOLE);
		Truth.assertThat(exchange.succeeded()).isTrue();
		Truth.assertThat(exchange.body()).isEqualTo("{}");
		Truth.assertThat(exchange.takeAgain()).isTrue();
		exchange.close();
	}

	/** Guards against reading another protocol until the time limit. */
	@Test
	void changeOfProtocolFailsTheCall() {
		JsonExchange exchange = used();
		exchange.call();
		exchange.read("HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n");
		Truth.assertThat(exchange.ended()).isTrue();
		Truth.assertThat(exchange.succeeded()).isFalse();
		exchange.close();
	}

	/**
	 * Guards against taking what a sound server doesn't send for a response: a trailer
	 * may be the head of the next response.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n" + WHOLE,
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r" + WHOLE,
			"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}" + WHOLE,
			"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"a\": " + WHOLE, WHOLE + WHOLE, "\r\n" + WHOLE,
			"HTTP/1.1 200 OK\r\nContent-Le" + WHOLE })
	void bytesOfSeveralResponsesFailTheCall(String bytes) {
		for (int length = 1; length <= bytes.length(); length++) {
			JsonExchange exchange = used();
			exchange.call();
			exchange.read(bytes.substring(0, length));
			Truth.assertWithMessage("%s bytes", length)
				.that(exchange.succeeded())
				.isEqualTo(bytes.startsWith(WHOLE) && length == WHOLE.length());
			exchange.read(bytes.substring(length));
			exchange.awaitTimeLimit();
			Truth.assertThat(exchange.takeAgain()).isFalse();
			exchange.close();
		}
	}

	/** Guards against a call on a connection on which something else was read. */
	@ParameterizedTest
	@ValueSource(strings = { "H", "\r\n", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 100 Continue\r\n\r\n", WHOLE })
	void bytesBetweenCallsCloseTheConnection(String bytes) {
		JsonExchange exchange = used();
		exchange.call();
		exchange.read(WHOLE);
		exchange.read(bytes);
		Truth.assertThat(exchange.channel().isOpen()).isFalse();
		Truth.assertThat(exchange.takeAgain()).isFalse();
		exchange.close();
	}

	static Stream<String> documentsWithAStatusLine() {
		return Stream.of("{\"check\": \"HTTP/1.1 200 OK\"}", "{\"check\": \"H\"}", "[\"HTTP/1.1 200\"]\n",
				"{\"check\": \"HTTP/1.1 200 OK\", \"deep\": " + "[".repeat(30_000) + "]".repeat(30_000) + "}",
				"{\"check\": \"HTTP/1.1 200 OK\", \"number\": " + "9".repeat(1_200) + "}",
				"{\"check\": \"HTTP/1.1 200 OK\", \"number\": 1e999999999}",
				"{\"check\": \"HTTP/1.1 200 OK\", \"" + "n".repeat(60_000) + "\": 1}");
	}

	/** Guards against a document that can't be read for the words that it holds. */
	@ParameterizedTest
	@MethodSource("documentsWithAStatusLine")
	void documentsMayHoldAStatusLine(String document) {
		JsonExchange exchange = used();
		exchange.call();
		exchange.read("HTTP/1.1 200 OK\r\nContent-Length: " + document.length() + "\r\n\r\n" + document);
		Truth.assertThat(exchange.succeeded()).isTrue();
		Truth.assertThat(exchange.body()).isEqualTo(document);
		exchange.close();
	}

	private static JsonExchange used() {
		JsonExchange exchange = new JsonExchange();
		exchange.call();
		exchange.read(WHOLE);
		Truth.assertThat(exchange.takeAgain()).isTrue();
		return exchange;
	}

	/**
	 * One connection, the calls on it, and the bytes that come back.
	 */
	private static final class DrawnConnection {

		private final Random random;

		private final String name;

		private final boolean faulty;

		private final JsonExchange exchange = new JsonExchange();

		private final PiecewiseDelivery delivery;

		private final List<ScriptedResponse> sent = new ArrayList<>();

		private boolean accounted = true;

		private DrawnConnection(Random random, String name, boolean faulty) {
			this.random = random;
			this.name = name;
			this.faulty = faulty;
			this.delivery = new PiecewiseDelivery(random, this.exchange.channel());
		}

		private void play() {
			boolean reusable = true;
			for (int i = 0; i < MAX_CALLS && reusable; i++) {
				playCall("r" + i);
				deliver(stray(0.2));
				reusable = this.exchange.takeAgain();
				Truth.assertWithMessage("reused if all bytes are accounted for, %s", this)
					.that(reusable)
					.isEqualTo(this.accounted);
			}
			this.exchange.close();
		}

		private void playCall(String id) {
			this.exchange.call();
			StrayBytes before = this.sent.isEmpty() ? StrayBytes.NONE : stray(0.3);
			this.accounted &= before.soundBeforeResponse();
			this.delivery.deliver(before.bytes());
			List<ScriptedResponse> candidates = new ArrayList<>(
					this.sent.stream().filter((response) -> isCopy(before, response)).toList());
			ScriptedResponse response = ScriptedResponse.draw(this.random, id, false);
			this.sent.add(response);
			candidates.add(response);
			boolean alone = deliverResponse(response) && before.soundBeforeResponse();
			if (this.exchange.succeeded()) {
				Truth.assertWithMessage("%s received as the response to %s, %s", this.exchange, id, this)
					.that(candidates.stream().anyMatch(this.exchange::received))
					.isTrue();
			}
			if (alone) {
				Truth.assertWithMessage("%s received without other bytes, %s", this.exchange, this)
					.that(this.exchange.received(response))
					.isTrue();
			}
			if (!this.exchange.ended()) {
				this.exchange.awaitTimeLimit();
			}
			Truth.assertWithMessage("call %s has ended, %s", id, this).that(this.exchange.ended()).isTrue();
		}

		/**
		 * Whether bytes are all of an earlier response. If they arrive in place of the
		 * next one, nothing tells them apart.
		 * @param stray the bytes
		 * @param response the response
		 * @return true if they are
		 */
		private static boolean isCopy(StrayBytes stray, ScriptedResponse response) {
			return List.of(response.bytes(), response.unnamed()).contains(stray.bytes())
					|| stray.withoutSecondId().equals(response.bytes());
		}

		/**
		 * Delivers a response together with the bytes that the server sends at once.
		 * @param response the response
		 * @return whether there are no such bytes
		 */
		private boolean deliverResponse(ScriptedResponse response) {
			boolean byConnection = response.framing() == ScriptedResponse.Framing.CONNECTION;
			StrayBytes with = byConnection ? StrayBytes.NONE : stray(0.2);
			this.accounted &= with.bytes().isEmpty();
			this.delivery.deliver(response.bytes() + with.bytes());
			if (byConnection) {
				this.accounted = false;
				this.exchange.closeByServer();
			}
			return with.bytes().isEmpty();
		}

		private StrayBytes stray(double probability) {
			return (this.faulty && this.random.nextDouble() < probability) ? StrayBytes.draw(this.random, this.sent)
					: StrayBytes.NONE;
		}

		private void deliver(StrayBytes stray) {
			this.accounted &= stray.bytes().isEmpty();
			this.delivery.deliver(stray.bytes());
		}

		@Override
		public String toString() {
			return "seed " + this.name + ", all bytes: " + this.delivery;
		}

	}

}
