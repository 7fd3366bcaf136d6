package org.bramleyscale.internal.gateway.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Contract tests of {@link CallerServer} with valid and invalid requests, and one
 * scripted endpoint.
 */
@Timeout(30)
class CallerServerTests {

	private static final String HIDDEN = "GET /log/9 HTTP/1.1\r\n\r\n";

	private static final String HIDDEN_IN_CHUNK = Integer.toHexString(HIDDEN.length()) + "\r\n" + HIDDEN
			+ "\r\n0\r\n\r\n";

	private GatewayFixture gateway;

	@BeforeEach
	void start() throws IOException {
		this.gateway = new GatewayFixture(List.of("HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 2\r\n\r\naa"),
				Route.builder("log", "hire.example", "/log/").service("yard").build());
	}

	@AfterEach
	void stop() throws IOException {
		this.gateway.close();
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', value = { "GET /log/1 HTTP/1.1\\r\\nHost: hire.example\\r\\n\\r\\n | 200",
			"POST /log/1 HTTP/1.1\\r\\nHost: hire.example\\r\\nContent-Length: 3\\r\\n\\r\\nabc | 200",
			"POST /log/1 HTTP/1.1\\r\\nHost: hire.example\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n3\\r\\nabc\\r\\n0\\r\\n\\r\\n | 200",
			"GET /other HTTP/1.1\\r\\nHost: hire.example\\r\\n\\r\\n | 404",
			"GET /log/1 HTTP/1.1\\r\\nHost: hire.example\\r\\nBad: 1\\r\\n\\r\\n | 400",
			"GET /log/1 HTTP/9.x.1\\r\\n\\r\\n | 400",
			"POST /log/1 HTTP/1.1\\r\\nHost: hire.example\\r\\nContent-Length: 2001\\r\\n\\r\\n | 413",
			"POST /log/1 HTTP/1.1\\r\\nHost: hire.example\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\nzz\\r\\n | 400",
			"POST /log/1 HTTP/1.1\\r\\nHost: hire.example\\r\\nContent-Length: 5\\r\\n\\r\\nab | 408",
			"GET /log/1 HTTP/1.1\\r\\nHost: hire | 408" })
	void respondsToEachKindOfRequest(String request, int status) throws IOException {
		String response = exchange(request.replace("\\r\\n", "\r\n"), true);
		Truth.assertThat(response).startsWith("HTTP/1.1 " + status + " ");
	}

	@Test
	void rejectsAHeaderBlockOverTheLimit() throws IOException {
		String request = "GET /log/1 HTTP/1.1\r\nHost: hire.example\r\nLong: " + "x".repeat(1_000) + "\r\n\r\n";
		Truth.assertThat(exchange(request, true)).startsWith("HTTP/1.1 431 ");
	}

	@Test
	void respondsToPipelinedRequestsInOrder() throws IOException {
		String request = "GET /log/1 HTTP/1.1\r\nHost: hire.example\r\n";
		String responses = exchange(request + "\r\n" + request + "\r\n" + request + "Connection: close\r\n\r\n", false);
		Truth.assertThat(responses.split("HTTP/1.1 200 OK", -1)).hasLength(4);
		Truth.assertThat(this.gateway.endpoint.requests).hasSize(3);
	}

	/** Guards against taking the body of a request for another request. */
	@Test
	void relaysChunkedBodyThatLooksLikeARequest() throws IOException {
		exchange("POST /log/1 HTTP/1.1\r\nHost: hire.example\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
				+ HIDDEN_IN_CHUNK, false);
		// The scripted endpoint reads on in the body, which bears no mark of the gateway.
		List<String> relayed = this.gateway.endpoint.requests.stream()
			.filter((head) -> head.contains("Expect-Endpoint: "))
			.toList();
		Truth.assertThat(relayed).hasSize(1);
		Truth.assertThat(relayed.get(0)).contains("content-length: " + HIDDEN.length());
	}

	@Test
	void rejectsBodyWithTwoFramings() throws IOException {
		// Guards against request smuggling: a caller hides a request in a body with two
		// conflicting framings, and two readers that determine different lengths make an
		// endpoint run a request that no caller sent.
		String responses = exchange("POST /log/1 HTTP/1.1\r\nHost: hire.example\r\nContent-Length: 4\r\n"
				+ "Transfer-Encoding: chunked\r\n\r\n" + HIDDEN_IN_CHUNK, false);
		Truth.assertThat(responses).startsWith("HTTP/1.1 400 ");
		Truth.assertThat(responses.split("HTTP/1.1", -1)).hasLength(2);
		Truth.assertThat(this.gateway.endpoint.requests).isEmpty();
	}

	@Test
	void asksCallersToCloseWhenLeaving() throws IOException {
		this.gateway.loop.execute(this.gateway.server::leave);
		String response = exchange("GET /log/1 HTTP/1.1\r\nHost: hire.example\r\n\r\n", false);
		Truth.assertThat(response.toLowerCase(java.util.Locale.ROOT)).contains("connection: close");
	}

	/**
	 * Sends bytes and reads until the server closes the connection.
	 * @param bytes the bytes
	 * @param first whether to stop after the first response
	 * @return what was read
	 * @throws IOException if the connection fails
	 */
	private String exchange(String bytes, boolean first) throws IOException {
		try (Socket socket = new Socket("127.0.0.1", this.gateway.port)) {
			socket.setSoTimeout(20_000);
			socket.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
			ByteArrayOutputStream read = new ByteArrayOutputStream();
			for (int next = socket.getInputStream().read(); next >= 0; next = socket.getInputStream().read()) {
				read.write(next);
				if (first && read.toString(StandardCharsets.UTF_8).contains("\r\n\r\n")) {
					break;
				}
			}
			return read.toString(StandardCharsets.UTF_8);
		}
	}

}
