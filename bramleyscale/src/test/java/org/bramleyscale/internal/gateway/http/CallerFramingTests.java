package org.bramleyscale.internal.gateway.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What becomes of callers' requests whose bytes can be read in more than one way, over
 * real sockets.
 */
@Timeout(30)
class CallerFramingTests {

	private static final String HOST = "Host: hire.example\r\n";

	private static final String POST = "POST /log/1 HTTP/1.1\r\n" + HOST;

	/** A request that a reader finds if it takes the one before it for shorter. */
	private static final String HIDDEN = "GET /log/9 HTTP/1.1\r\n" + HOST + "\r\n";

	private static final String CHUNKED = POST + "Transfer-Encoding: chunked\r\n\r\n";

	private GatewayFixture gateway;

	@BeforeEach
	void start() throws IOException {
		this.gateway = new GatewayFixture(
				List.of("HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 2\r\n\r\naa!close"),
				Route.builder("log", "hire.example", "/log/").service("yard").build());
	}

	@AfterEach
	void stop() throws IOException {
		this.gateway.close();
	}

	static Stream<String> ambiguousFields() {
		String length = "Content-Length: " + HIDDEN.length() + "\r\n";
		return Stream.of("Content-Length: 0\r\n" + length, length + length, "Content-Length: 0, 5\r\n",
				"Content-Length: 0,0\r\n", "Content-Length: +5\r\n", "Content-Length: -5\r\n",
				"Content-Length: 0x5\r\n", "Content-Length: 5 5\r\n", "Content-Length:\r\n", "Content-Length: 5;\r\n",
				"Content-Length: 99999999999999999999\r\n", "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n",
				"Transfer-Encoding: chunked\r\n" + length, "Transfer-Encoding: gzip\r\n",
				"Transfer-Encoding: identity\r\n", "Transfer-Encoding: gzip, chunked\r\n",
				"Transfer-Encoding: chunked, gzip\r\n", "Transfer-Encoding: chunked, chunked\r\n",
				"Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: chunked;q=1\r\n",
				"Transfer-Encoding: \"chunked\"\r\n", "Transfer-Encoding:\r\n",
				"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
				"Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding:\r\n chunked\r\n",
				"Transfer-Encoding : chunked\r\n", "Transfer-Encoding\t: chunked\r\n", "Content-Length : 5\r\n",
				"X: y\r\n " + length, "X: y\r\n\t" + length, "X: y\n" + length, "X: y\r" + length,
				"X: y\r\r\n" + length, length.replace("\r\n", "\n"), "X: a\0b\r\n", "X: a\u000bb\r\n",
				"X: a\u007fb\r\n", "X\0: a\r\n", "X Y: a\r\n", "(X): a\r\n", "no colon\r\n", ": no name\r\n", HOST,
				"Host: other.example\r\n", "X: y\r\n\n" + length, "X: y\n\r\n" + length);
	}

	/** Guards against a request whose end depends on who reads it. */
	@ParameterizedTest
	@MethodSource("ambiguousFields")
	void requestWithAmbiguousFieldsIsRejected(String fields) throws IOException {
		rejects(POST + fields + "\r\n" + HIDDEN);
	}

	/** Guards against a field before the first one that is part of the request line. */
	@Test
	void requestWhoseFirstFieldIsFoldedIsRejected() throws IOException {
		rejects("POST /log/1 HTTP/1.1\r\n Content-Length: 5\r\n" + HOST + "\r\n" + HIDDEN);
	}

	/** Guards against a method or target that an endpoint reads differently. */
	@ParameterizedTest
	@ValueSource(strings = { "GET  /log/1 HTTP/1.1\r\n", "GET\t/log/1 HTTP/1.1\r\n", "GET /log/1 HTTP/1.1 \r\n",
			"GET /log/1\r HTTP/1.1\r\n", " GET /log/1 HTTP/1.1\r\n", "\0GET /log/1 HTTP/1.1\r\n",
			"GET /log/1 HTTP/1.1\n", "GET /log/1 HTTP/1.1\r", "GET /log/1 HTTP/1.1\r\r\n", "GET /log/1\0 HTTP/1.1\r\n",
			"GET /log/\u00e9 HTTP/1.1\r\n", "GET /log/1 HTTP/2.0\r\n", "GET /log/1 HTTP/1.2\r\n",
			"GET /log/1 http/1.1\r\n", "GET /log/1\r\n", "G(T /log/1 HTTP/1.1\r\n", "CONNECT /log/1 HTTP/1.1\r\n",
			"GET /log/1 HTTP/1.1 HTTP/1.1\r\n", "\nGET /log/1 HTTP/1.1\r\n" })
	void requestLineThatIsNotExactIsRejected(String line) throws IOException {
		rejects(line + HOST + "\r\n" + HIDDEN);
	}

	/** Guards against chunks that mean nothing to a caller of HTTP/1.0. */
	@Test
	void chunksOfHttp10AreRejected() throws IOException {
		rejects(CHUNKED.replace("HTTP/1.1", "HTTP/1.0") + "0\r\n\r\n" + HIDDEN);
	}

	/** Guards against chunks whose ends depend on who reads them. */
	@ParameterizedTest
	@ValueSource(strings = { "+3\r\nabc\r\n0\r\n\r\n", "-3\r\nabc\r\n0\r\n\r\n", "0x3\r\nabc\r\n0\r\n\r\n",
			" 3\r\nabc\r\n0\r\n\r\n", "3 \r\nabc\r\n0\r\n\r\n", "3 4\r\nabc\r\n0\r\n\r\n", "3\nabc\r\n0\r\n\r\n",
			"3\rabc\r\n0\r\n\r\n", "3\r\nabcd\r\n0\r\n\r\n", "3\r\nabc\n0\r\n\r\n", "3\r\nabc\r0\r\n\r\n",
			"3\r\nabc0\r\n\r\n", "\r\n0\r\n\r\n", "3\r\nabc\r\n0\n\r\n", "3;a\nb\r\nabc\r\n0\r\n\r\n",
			"0000000000003\r\nabc\r\n0\r\n\r\n", "ffffffff\r\nabc\r\n0\r\n\r\n", "0\r\nX : y\r\n\r\n",
			"0\r\nX: y\r\n z\r\n\r\n", "0\r\nGET /log/9 HTTP/1.1\r\n\r\n", "0\r\nX: y\n\r\n", "0\r\n\n" })
	void chunksThatAreNotExactAreRejected(String chunks) throws IOException {
		rejects(CHUNKED + chunks + HIDDEN);
	}

	/** Guards against rejecting what is sound, however its bytes arrive. */
	@ParameterizedTest
	@ValueSource(strings = { "Content-Length: 3\r\n\r\nabc", "content-length:3\r\n\r\nabc",
			"Content-Length: \t3 \t\r\n\r\nabc", "Content-Length: 003\r\n\r\nabc",
			"Transfer-Encoding: Chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
			"transfer-encoding:chunked\r\n\r\n1\r\na\r\n002\r\nbc\r\n00\r\n\r\n",
			"Transfer-Encoding: chunked\r\n\r\n3;a=b;c=\"d\"\r\nabc\r\n0;e\r\nX: y\r\nZ:\r\n\r\n",
			"Content-Length: 3\r\nX:\r\nY: a\tb \u00e9\r\n!#$%&'*+-.^_`|~9: z\r\n\r\nabc" })
	void soundRequestIsRelayedWhole(String rest) throws IOException {
		String request = "\r\n\r\n" + POST + rest;
		for (int cut = 1; cut <= request.length(); cut += (cut == 1) ? 6 : 23) {
			this.gateway.endpoint.requests.clear();
			List<String> parts = List.of(request.substring(0, cut), request.substring(cut));
			String received = exchange(parts, "GET /log/2 HTTP/1.1\r\n" + HOST + "Connection: close\r\n\r\n");
			Truth.assertThat(statuses(received)).containsExactly("200", "200");
			Truth.assertThat(this.gateway.endpoint.requests).hasSize(2);
			Truth.assertThat(this.gateway.endpoint.requests.get(0)).startsWith("POST /log/1 HTTP/1.1\r\n");
			Truth.assertThat(this.gateway.endpoint.requests.get(0)).contains("content-length: 3\r\n");
			Truth.assertThat(this.gateway.endpoint.requests.get(1)).startsWith("GET /log/2 HTTP/1.1\r\n");
		}
	}

	/** Guards against a head without end that is held. */
	@ParameterizedTest
	@ValueSource(strings = { "X: ", "GET /log/" })
	void headThatIsTooLargeIsRejectedBeforeItsEnd(String start) throws IOException {
		String head = start.startsWith("GET") ? start : POST + start;
		String received = exchange(List.of(head + "x".repeat(start.startsWith("GET") ? 8_300 : 1_001)), "");
		Truth.assertThat(statuses(received)).containsExactly("431");
	}

	private void rejects(String request) throws IOException {
		for (int cut : List.of(request.length(), request.length() - HIDDEN.length(), 30)) {
			String received = exchange(List.of(request.substring(0, cut), request.substring(cut)), "");
			Truth.assertThat(statuses(received)).containsExactly("400");
			Truth.assertThat(received).endsWith("\r\n\r\n");
			Truth.assertThat(this.gateway.endpoint.requests).isEmpty();
		}
	}

	/**
	 * Sends bytes and reads until the server ends the connection.
	 * @param parts the bytes, which are sent one part after the other
	 * @param last sent at the end
	 * @return what was read
	 * @throws IOException if the connection fails
	 */
	private String exchange(List<String> parts, String last) throws IOException {
		try (Socket socket = new Socket("127.0.0.1", this.gateway.port)) {
			socket.setSoTimeout(5_000);
			socket.setTcpNoDelay(true);
			for (String part : parts) {
				socket.getOutputStream().write(part.getBytes(StandardCharsets.ISO_8859_1));
			}
			socket.getOutputStream().write(last.getBytes(StandardCharsets.ISO_8859_1));
			return read(socket.getInputStream());
		}
	}

	private static String read(InputStream input) throws IOException {
		return new String(input.readAllBytes(), StandardCharsets.ISO_8859_1);
	}

	private static List<String> statuses(String received) {
		List<String> statuses = new ArrayList<>();
		for (String part : received.split("HTTP/1.1 ", -1)) {
			if (!part.isEmpty()) {
				statuses.add(part.substring(0, 3));
			}
		}
		return statuses;
	}

}
