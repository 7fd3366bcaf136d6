package org.bramleyscale.internal.http;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.address.AddressAnswer;
import org.bramleyscale.internal.time.EventLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * The contract towards callers, over loopback.
 */
class EntryServerTests {

	private static final EntrySettings SETTINGS = new EntrySettings(1, 2000, 4096, Duration.ofSeconds(10),
			Duration.ofSeconds(65));

	private final HttpClient client = HttpClient.newHttpClient();

	private final EventLoop loop = new EventLoop("entry-test");

	private final FakeConfiguration configuration = new FakeConfiguration();

	private final FakeRequests requests = new FakeRequests();

	private EntryServer server;

	@BeforeEach
	void start() throws Exception {
		this.server = EntryServer.builder()
			.address(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
			.scheduler(this.loop)
			.configuration(this.configuration)
			.addresses((account) -> new AddressAnswer(
					List.of(new AddressAnswer.Entry("127.0.0.1:8080", "entry-1~10", "rawang")), Duration.ofSeconds(30)))
			.requests(this.requests)
			.settings(SETTINGS)
			.build();
		this.server.start();
	}

	@AfterEach
	void stop() throws Exception {
		this.server.stop();
		this.loop.close();
	}

	@Test
	void streamsEachBatchAsAnEvent() throws Exception {
		HttpResponse<String> response = post("/v1/chat/completions",
				"{\"model\":\"assist\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}");
		Truth.assertThat(response.headers().firstValue("Request-Id")).hasValue("entry-1~10~7");
		Truth.assertThat(response.body()).contains("id: 1\ndata: {\"id\":\"entry-1~10~7\"");
		Truth.assertThat(response.body()).contains("{\"content\":\"two \\\"three\\\"\\n\"}");
		Truth.assertThat(response.body()).endsWith("data: [DONE]\n\n");
	}

	@Test
	void answersWhole() throws Exception {
		HttpResponse<String> response = post("/v1/completions", "{\"model\":\"assist\",\"prompt\":\"hi\"}");
		Truth.assertThat(response.body()).contains("\"text\":\"one two \\\"three\\\"\\n\"");
		response = post("/v1/services/yard/a/b?c=%20d", "{\"model\":\"assist\",\"prompt\":\"hi\"}");
		Truth.assertThat(response.statusCode()).isEqualTo(201);
		Truth.assertThat(response.body()).isEqualTo("booked /a/b?c=%20d");
	}

	private HttpResponse<String> post(String path, String body) throws Exception {
		return this.client.send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + this.server.port() + path))
			.header("Authorization", "Bearer " + FakeConfiguration.DESK_KEY)
			.POST(HttpRequest.BodyPublishers.ofString(body))
			.build(), HttpResponse.BodyHandlers.ofString());
	}

}
