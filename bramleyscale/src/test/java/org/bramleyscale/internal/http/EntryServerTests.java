package org.bramleyscale.internal.http;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import com.google.common.truth.Truth;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.request.AnswerSink;
import org.bramleyscale.internal.request.GenerateRequest;
import org.bramleyscale.internal.request.PlainRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * What callers get for calls that are served, over loopback.
 */
class EntryServerTests {

	private static final String STREAM = "{\"model\":\"assist\",\"stream\":true,\"prompt\":\"hi\"}";

	private static final String WHOLE = "{\"model\":\"assist\",\"prompt\":\"hi\"}";

	private static final String TEXT = "/v1/completions";

	private EntryFixture entry;

	@BeforeEach
	void start() throws Exception {
		this.entry = new EntryFixture(Duration.ofMillis(100));
	}

	@AfterEach
	void stop() throws Exception {
		this.entry.close();
	}

	@Test
	void streamsEachBatchAsAnEventWithItsOffset() throws Exception {
		HttpResponse<String> response = this.entry.post("/v1/chat/completions",
				"{\"model\":\"assist\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}");
		Truth.assertThat(response.headers().firstValue("Request-Id")).hasValue("entry-1~10~7");
		Truth.assertThat(response.headers().firstValue("Content-Type")).hasValue("text/event-stream;charset=UTF-8");
		Truth.assertThat(response.body()).startsWith("id: 0\ndata: {\"id\":\"entry-1~10~7\"");
		Truth.assertThat(response.body()).contains("\n\nid: 1\ndata: {\"id\":\"entry-1~10~7\"");
		Truth.assertThat(response.body()).contains("{\"content\":\"two \\\"three\\\"\\n\"}");
		Truth.assertThat(response.body())
			.contains("\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":5,"
					+ "\"completion_tokens\":3,\"total_tokens\":8,");
		Truth.assertThat(response.body()).endsWith("data: [DONE]\n\n");
	}

	@Test
	void answersWhole() throws Exception {
		HttpResponse<String> response = this.entry.post(TEXT, WHOLE);
		Truth.assertThat(response.headers().firstValue("Request-Id")).hasValue("entry-1~10~7");
		Truth.assertThat(response.body()).contains("\"text\":\"one two \\\"three\\\"\\n\"");
		GenerateRequest request = this.entry.requests.generated.take();
		Truth.assertThat(request.prompt()).isEqualTo("hi");
		Truth.assertThat(request.timeLeft()).isEqualTo(Duration.ofSeconds(20));
		Truth.assertThat(request.repeatable()).isTrue();
		Truth.assertThat(request.id()).isEmpty();
	}

	@Test
	void passesHeadersOfTheCallOn() throws Exception {
		this.entry.send(this.entry.request(TEXT)
			.header("Request-Id", "entry-1~10~mine")
			.header("Request-Timeout-Ms", "1500")
			.header("Request-Repeatable", "false")
			.POST(HttpRequest.BodyPublishers.ofString(WHOLE))
			.build());
		GenerateRequest request = this.entry.requests.generated.take();
		Truth.assertThat(request.id()).hasValue(RequestId.parse("entry-1~10~mine"));
		Truth.assertThat(request.timeLeft()).isEqualTo(Duration.ofMillis(1500));
		Truth.assertThat(request.repeatable()).isFalse();
	}

	@ParameterizedTest
	@CsvSource({ "GET, true", "HEAD, true", "POST, false", "PUT, false", "DELETE, false" })
	void callsPlainServicesWithTheMethodsDefaultMark(String method, boolean repeatable) throws Exception {
		HttpResponse<String> response = this.entry.send(this.entry.request("/v1/services/yard/a/b?c=%20d")
			.header("X-Yard", "5")
			.method(method, HttpRequest.BodyPublishers.ofString("x"))
			.build());
		PlainRequest request = this.entry.requests.called.take();
		Truth.assertThat(response.statusCode()).isEqualTo(201);
		Truth.assertThat(response.headers().firstValue("Request-Id")).hasValue("entry-1~10~7");
		Truth.assertThat(request.path()).isEqualTo("/a/b?c=%20d");
		Truth.assertThat(request.method()).isEqualTo(method);
		Truth.assertThat(request.repeatable()).isEqualTo(repeatable);
		Truth.assertThat(request.timeLeft()).isEqualTo(Duration.ofSeconds(5));
		Truth.assertThat(request.headers()).containsEntry("X-Yard", "5");
		Truth.assertThat(request.headers()).doesNotContainKey("Authorization");
	}

	@ParameterizedTest
	@CsvSource({ "?offset=1, , 1", "'', 2, 2", "?offset=1, 2, 1", "'', , 0" })
	void resumesAtAnOffset(String query, String lastEvent, long offset) throws Exception {
		HttpRequest.Builder request = this.entry.request("/v1/requests/entry-1~10~7/stream" + query);
		if (lastEvent != null) {
			request.header("Last-Event-ID", lastEvent);
		}
		HttpResponse<String> response = this.entry.send(request.build());
		Truth.assertThat(response.body()).endsWith("data: [DONE]\n\n");
		Truth.assertThat(this.entry.requests.resumedFrom.take()).isEqualTo(offset);
	}

	@Test
	void resumesAnAnswerWithoutASecondAdmission() throws Exception {
		this.entry.requests.script = (sink) -> {
			sink.tokens(1, 2, "two three");
			sink.completed(new EngineUsage(5, 2, 3, "stop"));
		};
		HttpResponse<String> response = this.entry
			.send(this.entry.request("/v1/requests/entry-1~10~7/stream?offset=1&format=text&model=assist").build());
		Truth.assertThat(response.headers().firstValue("Request-Id")).hasValue("entry-1~10~7");
		Truth.assertThat(response.body())
			.contains("\"model\":\"assist\",\"choices\":[{\"index\":0,\"text\":\"two three\"");
	}

	@Test
	void cancels() throws Exception {
		HttpResponse<String> response = this.entry
			.send(this.entry.request("/v1/requests/entry-1~10~7").DELETE().build());
		Truth.assertThat(response.statusCode()).isEqualTo(202);
		Truth.assertThat(this.entry.requests.cancelled.take()).isEqualTo(FakeRequests.ISSUED);
	}

	@Test
	void tellsAddresses() throws Exception {
		this.entry.configuration.fresh = false;
		HttpResponse<String> response = this.entry.send(this.entry.request("/v1/addresses").build());
		Truth.assertThat(response.body())
			.isEqualTo("{\"entries\":[{\"address\":\"127.0.0.1:8080\","
					+ "\"requestIdPrefix\":\"entry-1~10\",\"dataCentre\":\"rawang\"}],\"keepForMillis\":30000}");
	}

	@Test
	void offersPathsOfOthers() throws Exception {
		Truth.assertThat(this.entry.send(this.entry.request("/extra").build()).body()).isEqualTo("extra");
	}

	@Test
	void endsAStreamThatFailsWithAnErrorEvent() throws Exception {
		this.entry.requests.script = (sink) -> {
			sink.admitted(FakeRequests.ISSUED);
			sink.tokens(0, 1, "one ");
			sink.failed(new ServingException(ErrorCode.ENDPOINT_FAILED, Ran.YES, Step.STREAM, "engine-1", "died"));
		};
		HttpResponse<String> response = this.entry.post(TEXT, STREAM);
		Truth.assertThat(response.statusCode()).isEqualTo(200);
		Truth.assertThat(response.body())
			.endsWith("event: error\ndata: {\"error\":{\"code\":\"ENDPOINT_FAILED\",\"message\":\"died\","
					+ "\"ran\":\"yes\",\"step\":\"stream\",\"peer\":\"engine-1\",\"retryAfterMillis\":null}}\n\n");
	}

	@Test
	void flushesEachBatchAsItComes() throws Exception {
		// Symptom: a caller sees nothing until the answer is complete. Sequence: tokens
		// come while the answer goes on. Cause: batches kept in a buffer until it is
		// full.
		this.entry.requests.script = (sink) -> sink.admitted(FakeRequests.ISSUED);
		try (Socket socket = this.entry.open(TEXT, STREAM)) {
			AnswerSink sink = this.entry.requests.sinks.take();
			BufferedReader reader = reader(socket);
			readUntil(reader, "\"text\":\"\"");
			this.entry.loop.execute(() -> sink.tokens(0, 1, "one "));
			readUntil(reader, "\"text\":\"one \"");
			this.entry.loop.execute(() -> sink.tokens(1, 1, "two "));
			readUntil(reader, "\"text\":\"two \"");
			this.entry.loop.execute(() -> sink.completed(new EngineUsage(1, 0, 2, "stop")));
			readUntil(reader, "[DONE]");
		}
	}

	@ParameterizedTest
	@CsvSource({ "true, true", "true, false", "false, true", "false, false" })
	void tellsTheRequestThatItsCallerHasGone(boolean stream, boolean admitted) throws Exception {
		// Symptom: engines go on with answers that nobody reads. Sequence: a caller
		// closes
		// its connection while its request waits or runs. Cause: the closed connection is
		// noticed only at the next write, which may be minutes away or never come.
		this.entry.requests.script = (sink) -> {
			if (admitted) {
				sink.admitted(FakeRequests.ISSUED);
			}
		};
		Socket socket = this.entry.open(TEXT, stream ? STREAM : WHOLE);
		this.entry.requests.sinks.take();
		socket.close();
		Truth.assertThat(this.entry.requests.gone.poll(20, TimeUnit.SECONDS)).isEqualTo("gone");
	}

	@Test
	void endsTheStreamOfAReaderThatStopsReading() throws Exception {
		// Symptom: the heap grows with the number of stalled callers. Sequence: a caller
		// stops reading while tokens keep coming. Cause: what it doesn't take is kept.
		this.entry.requests.script = (sink) -> sink.admitted(FakeRequests.ISSUED);
		try (Socket socket = this.entry.open(TEXT, STREAM)) {
			AnswerSink sink = this.entry.requests.sinks.take();
			String text = "x".repeat(1000);
			for (int i = 0; i < 20_000 && this.entry.requests.gone.isEmpty(); i++) {
				long offset = i;
				this.entry.loop.execute(() -> sink.tokens(offset, 1, text));
			}
			Truth.assertThat(this.entry.requests.gone.poll(20, TimeUnit.SECONDS)).isEqualTo("gone");
			Truth.assertThat(socket.isConnected()).isTrue();
		}
	}

	@Test
	void sendsCommentsWhileThereAreNoTokens() throws Exception {
		// Symptom: a caller waits for ever on a connection that something in between has
		// forgotten. Sequence: a long prompt is computed and nothing is sent for minutes.
		// Cause: a silent connection and a waiting one look alike.
		this.entry.requests.script = (sink) -> sink.admitted(FakeRequests.ISSUED);
		try (Socket socket = this.entry.open(TEXT, STREAM)) {
			BufferedReader reader = reader(socket);
			readUntil(reader, ": keep-alive");
			readUntil(reader, ": keep-alive");
		}
	}

	private static BufferedReader reader(Socket socket) throws Exception {
		socket.setSoTimeout((int) Duration.ofSeconds(20).toMillis());
		return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
	}

	private static void readUntil(BufferedReader reader, String text) throws Exception {
		String line = reader.readLine();
		while (line != null && !line.contains(text)) {
			line = reader.readLine();
		}
		Truth.assertThat(line).isNotNull();
	}

}
