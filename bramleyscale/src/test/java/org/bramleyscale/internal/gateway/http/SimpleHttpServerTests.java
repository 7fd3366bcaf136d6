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
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

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
