package org.bramleyscale.internal.http;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.truth.Truth;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.internal.request.AnswerSink;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * What callers get for calls that can't be served, over loopback.
 */
class EntryRefusalTests {

	private static final String CHAT = "/v1/chat/completions";

	private static final String GOOD = "{\"model\":\"assist\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";

	private static final String BROKEN = "{\"model\":";

	private static EntryFixture entry;

	@BeforeAll
	static void start() throws Exception {
		entry = new EntryFixture(Duration.ofSeconds(10));
	}

	@AfterAll
	static void stop() throws Exception {
		entry.close();
	}

	static Stream<Case> refusals() {
		String large = " ".repeat(EntryFixture.BODY_BYTES + 1);
		return Stream.of(post("no key", CHAT, GOOD).key(null).gets(ErrorCode.UNAUTHORIZED, "no account"),
				post("unknown key", CHAT, GOOD).key("other").gets(ErrorCode.UNAUTHORIZED, "no account"),
				post("unknown key and large body", CHAT, large).key("other").gets(ErrorCode.UNAUTHORIZED, ""),
				post("unknown key, not fresh", CHAT, GOOD).key("other").stale().gets(ErrorCode.NOT_READY, ""),
				post("not fresh", CHAT, GOOD).stale().gets(ErrorCode.NOT_READY, "configuration"),
				post("not fresh and large body", CHAT, large).stale().gets(ErrorCode.NOT_READY, ""),
				post("not fresh and broken", CHAT, BROKEN).stale().gets(ErrorCode.NOT_READY, ""),
				post("large body", CHAT, large).gets(ErrorCode.TOO_LARGE, "2000 bytes"),
				post("large plain body", "/v1/services/yard/a", large).gets(ErrorCode.TOO_LARGE, "2000 bytes"),
				post("broken JSON", CHAT, BROKEN).gets(ErrorCode.BAD_REQUEST, "not JSON"),
				post("empty body", CHAT, "").gets(ErrorCode.BAD_REQUEST, "JSON object"),
				post("a list", CHAT, "[]").gets(ErrorCode.BAD_REQUEST, "JSON object"),
				post("no messages", CHAT, "{\"model\":\"assist\"}").gets(ErrorCode.BAD_REQUEST, "'messages'"),
				post("no prompt", "/v1/completions", GOOD).gets(ErrorCode.BAD_REQUEST, "'prompt'"),
				post("no model", CHAT, GOOD.replace("model", "m")).gets(ErrorCode.BAD_REQUEST, "'model'"),
				post("bad content", CHAT, GOOD.replace("\"hi\"", "5")).gets(ErrorCode.BAD_REQUEST, "'content'"),
				post("bad max_tokens", CHAT, with("\"max_tokens\":0")).gets(ErrorCode.BAD_REQUEST, "was 0"),
				post("bad stream", CHAT, with("\"stream\":\"yes\"")).gets(ErrorCode.BAD_REQUEST, "'stream'"),
				post("unknown model", CHAT, GOOD.replace("assist", "other")).gets(ErrorCode.UNKNOWN_MODEL, "'other'"),
				post("odd model", CHAT, GOOD.replace("assist", "a b")).gets(ErrorCode.UNKNOWN_MODEL, "'a b'"),
				post("model of others", CHAT, GOOD).key(FakeConfiguration.BOARDS_KEY).gets(ErrorCode.FORBIDDEN, ""),
				post("unknown service", "/v1/services/gate/a", "").gets(ErrorCode.UNKNOWN_SERVICE, "'gate'"),
				post("odd service", "/v1/services/%20/a", "").gets(ErrorCode.UNKNOWN_SERVICE, ""),
				post("model service", "/v1/services/hire/a", "").gets(ErrorCode.UNKNOWN_SERVICE, "'hire'"),
				post("service of others", "/v1/services/yard/a", "").key(FakeConfiguration.QUOTES_KEY)
					.gets(ErrorCode.FORBIDDEN, "'yard'"),
				post("bad id", CHAT, GOOD).header("Request-Id", "mine").gets(ErrorCode.BAD_HEADER, "'mine'"),
				post("bad time", CHAT, GOOD).header("Request-Timeout-Ms", "1s").gets(ErrorCode.BAD_HEADER, "'1s'"),
				post("no time", CHAT, GOOD).header("Request-Timeout-Ms", "0").gets(ErrorCode.BAD_HEADER, "'0'"),
				post("bad mark", CHAT, GOOD).header("Request-Repeatable", "no").gets(ErrorCode.BAD_HEADER, "'no'"),
				post("bad mark and body", CHAT, BROKEN).header("Request-Repeatable", "no")
					.gets(ErrorCode.BAD_HEADER, ""),
				post("rate limited", CHAT, GOOD).script(FakeRequests::refuse).gets(ErrorCode.RATE_LIMITED, "used up"),
				post("rate limited stream", CHAT, with("\"stream\":true")).script(FakeRequests::refuse)
					.gets(ErrorCode.RATE_LIMITED, "used up"),
				post("leaving", CHAT, GOOD).script(failure(ErrorCode.LEAVING)).gets(ErrorCode.LEAVING, "scripted"),
				post("overloaded", CHAT, GOOD).script(failure(ErrorCode.OVERLOADED)).gets(ErrorCode.OVERLOADED, ""),
				post("unknown path", "/v1/nothing", "").gets(ErrorCode.NOT_FOUND, "POST /v1/nothing"),
				post("wrong method", "/v1/addresses", "").gets(ErrorCode.NOT_FOUND, "POST /v1/addresses"),
				get("no such id", "/v1/requests/7/stream").gets(ErrorCode.UNKNOWN_REQUEST, "'7'"),
				get("bad offset", "/v1/requests/a~1~7/stream?offset=-1").gets(ErrorCode.BAD_REQUEST, "'-1'"),
				get("bad last event", "/v1/requests/a~1~7/stream").header("Last-Event-ID", "x")
					.gets(ErrorCode.BAD_HEADER, "'x'"),
				get("bad format", "/v1/requests/a~1~7/stream?format=xml").gets(ErrorCode.BAD_REQUEST, "'xml'"));
	}

	@ParameterizedTest
	@MethodSource("refusals")
	void tellsWhyAndThatNothingRan(Case given) throws Exception {
		entry.configuration.fresh = !given.stale;
		entry.requests.script = given.script;
		HttpResponse<String> response = entry.send(given.request());
		JsonNode error = new ObjectMapper().readTree(response.body()).path("error");
		Truth.assertThat(error.path("code").asText()).isEqualTo(given.code.name());
		Truth.assertThat(response.statusCode()).isEqualTo(given.code.httpStatus());
		Truth.assertThat(response.headers().firstValue("Content-Type")).hasValue("application/json");
		Truth.assertThat(error.path("ran").asText()).isEqualTo("no");
		Truth.assertThat(error.path("peer").asText()).isEqualTo("self");
		Truth.assertThat(error.path("step").asText()).isNotEmpty();
		Truth.assertThat(error.path("message").asText()).contains(given.message);
		Truth.assertThat(error.path("retryAfterMillis").isNumber())
			.isEqualTo(response.headers().firstValue("Retry-After").isPresent());
	}

	@Test
	void announcesThatItClosesAConnectionWhoseBodyItWillNotRead() throws Exception {
		// Symptom: now and then a call ends without any answer. Sequence: a call with a
		// large body is refused for its key; the caller sends its next call on the same
		// connection. Cause: the server closes that connection, as the body is still on
		// it.
		HttpResponse<String> response = entry.send(entry.request(CHAT)
			.setHeader("Authorization", "Bearer other")
			.POST(HttpRequest.BodyPublishers.ofString(" ".repeat(EntryFixture.BODY_BYTES + 1)))
			.build());
		Truth.assertThat(response.headers().firstValue("Connection")).hasValue("close");
	}

	@ParameterizedTest
	@MethodSource("retries")
	void tellsWhenToComeBackInWholeSecondsRoundedUp(Duration delay, String seconds) throws Exception {
		entry.configuration.fresh = true;
		entry.requests.script = (sink) -> sink
			.failed(new ServingException(ErrorCode.OVERLOADED, Ran.NO, Step.ADMIT, "self", "busy", delay));
		HttpResponse<String> response = entry.post(CHAT, GOOD);
		Truth.assertThat(response.headers().firstValue("Retry-After")).hasValue(seconds);
		Truth.assertThat(response.body()).contains("\"retryAfterMillis\":" + delay.toMillis());
	}

	static Stream<Arguments> retries() {
		return Stream.of(Arguments.of(Duration.ofMillis(1), "1"), Arguments.of(Duration.ofMillis(1000), "1"),
				Arguments.of(Duration.ofMillis(1001), "2"));
	}

	private static String with(String member) {
		return GOOD.substring(0, GOOD.length() - 1) + "," + member + "}";
	}

	private static Consumer<AnswerSink> failure(ErrorCode code) {
		return (sink) -> sink.failed(new ServingException(code, Ran.NO, Step.ADMIT, "self", "scripted"));
	}

	private static Case post(String name, String path, String body) {
		return new Case(name, path, body);
	}

	private static Case get(String name, String path) {
		return new Case(name, path, null);
	}

	/**
	 * One line of the table.
	 */
	static final class Case {

		private final String name;

		private final String path;

		private final String body;

		private String key = FakeConfiguration.DESK_KEY;

		private boolean stale;

		private String header;

		private String value;

		private Consumer<AnswerSink> script = FakeRequests::answerThreeWords;

		private ErrorCode code;

		private String message;

		Case(String name, String path, String body) {
			this.name = name;
			this.path = path;
			this.body = body;
		}

		Case key(String newKey) {
			this.key = newKey;
			return this;
		}

		Case stale() {
			this.stale = true;
			return this;
		}

		Case header(String newHeader, String newValue) {
			this.header = newHeader;
			this.value = newValue;
			return this;
		}

		Case script(Consumer<AnswerSink> newScript) {
			this.script = newScript;
			return this;
		}

		Case gets(ErrorCode newCode, String newMessage) {
			this.code = newCode;
			this.message = newMessage;
			return this;
		}

		HttpRequest request() {
			HttpRequest.Builder request = entry.request(this.path);
			if (this.body != null) {
				request.POST(HttpRequest.BodyPublishers.ofString(this.body));
			}
			if (this.header != null) {
				request.header(this.header, this.value);
			}
			request.setHeader("Authorization", (this.key != null) ? "Bearer " + this.key : "Basic x");
			return request.build();
		}

		@Override
		public String toString() {
			return this.name;
		}

	}

}
