package org.bramleyscale.internal.gateway.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Contract tests of {@link SimpleHttpServer} over real sockets.
 */
@Timeout(30)
class SimpleHttpServerTests {

	private static final String HOST = " HTTP/1.1\r\nHost: h\r\n";

	private static final String OK = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 6\r\n";

	private final NettyLoop loop = new NettyLoop("test");

	private int port;

	@BeforeEach
	void start() throws IOException {
		try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			this.port = free.getLocalPort();
		}
		new SimpleHttpServer(this.loop,
				(request) -> new SimpleHttpServer.Response(200, "text/plain",
						("b of " + request.path().charAt(1)).getBytes(StandardCharsets.UTF_8)))
			.listen(new InetSocketAddress("127.0.0.1", this.port));
	}

	@AfterEach
	void stop() {
		this.loop.close();
	}

	/** Guards against a body after a head, and against one that an interim 100 hides. */
	@ParameterizedTest
	@CsvSource({ "GET, HEAD", "HEAD, GET", "POST, HEAD", "HEAD, HEAD", "GET, GET" })
	void pipelinedRequestsReceiveTheirOwnResponses(String first, String second) throws IOException {
		for (String expect : new String[] { "", "Content-Length: 1\r\nExpect: 100-continue\r\n" }) {
			String content = expect.isEmpty() ? "" : "x";
			String received = exchange(first + " /1" + HOST + expect + "\r\n" + content + second + " /2" + HOST
					+ "Connection: close\r\n\r\n");
			Truth.assertThat(received.replaceFirst("^HTTP/1.1 100 Continue\r\n(content-length: 0\r\n)?\r\n", ""))
				.isEqualTo(OK + "\r\n" + body(first, 1) + OK + "connection: close\r\n\r\n" + body(second, 2));
		}
	}

	/** Guards against answering bytes that can be read in more than one way. */
	@ParameterizedTest
	@ValueSource(strings = { "GET /1 HTTP/1.1\nHost: h\n\n", "GET /1" + HOST + "Content-Length : 3\r\n\r\n",
			"GET /1" + HOST + "Transfer-Encoding: gzip\r\n\r\n",
			"GET /1" + HOST + "Transfer-Encoding: chunked\r\n\r\n-1\r\n\r\n",
			"GET /1" + HOST + "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" })
	void requestThatIsNotExactIsRejected(String request) throws IOException {
		String received = exchange(request + "GET /2" + HOST + "\r\n");
		Truth.assertThat(received).startsWith("HTTP/1.1 400 ");
		Truth.assertThat(received.split("HTTP/1.1", -1)).hasLength(2);
	}

	/** Guards against leniency towards a request behind one whose body isn't wanted. */
	@Test
	void requestBehindAnUnwantedBodyIsChecked() throws IOException {
		String received = exchange("POST /1" + HOST + "Expect: 100-continue\r\nContent-Length: 70000\r\n\r\n"
				+ "GET /2 HTTP/1.1\nHost: h\n\n");
		Truth.assertThat(received).startsWith("HTTP/1.1 413 ");
		Truth.assertThat(received.split("HTTP/1.1 400 ", -1)).hasLength(2);
		Truth.assertThat(received).doesNotContain(" 200 ");
	}

	private static String body(String method, int number) {
		return method.equals("HEAD") ? "" : "b of " + number;
	}

	private String exchange(String bytes) throws IOException {
		try (Socket socket = new Socket("127.0.0.1", this.port)) {
			socket.setSoTimeout(5_000);
			socket.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		}
	}

}
