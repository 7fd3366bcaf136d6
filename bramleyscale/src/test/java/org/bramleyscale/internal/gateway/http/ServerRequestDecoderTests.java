package org.bramleyscale.internal.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.google.common.truth.Truth;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests of {@link ServerRequestDecoder} for each place at which bytes may be cut.
 */
class ServerRequestDecoderTests {

	private static final int MAX_LINE = 40;

	private static final int MAX_HEADERS = 60;

	private static final String GET = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

	private static final String POST = "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n\r\nGE";

	private static final String CHUNKS = "PUT /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
			+ "3\r\n0\r\n\r\n2;e=f\r\nGE\r\n0\r\nX: y\r\n\r\n";

	/** Guards against a decoder whose result depends on how bytes arrive. */
	@Test
	void pipelinedRequestsAreDecodedAlikeWhereverTheyAreCut() {
		String bytes = "\r\n" + GET + CHUNKS + POST + "\r\n\r\n" + CHUNKS + GET + GET + POST;
		List<String> expected = List.of("GET /a ", "PUT /c 0\r\nGE", "POST /b \r\nGE", "PUT /c 0\r\nGE", "GET /a ",
				"GET /a ", "POST /b \r\nGE");
		for (int first = 0; first < bytes.length(); first++) {
			Truth.assertThat(decode(bytes.substring(0, first), bytes.substring(first))).isEqualTo(expected);
			int second = Math.min(bytes.length(), first + 1 + first % 7);
			Truth.assertThat(decode(bytes.substring(0, first), bytes.substring(first, second), bytes.substring(second)))
				.isEqualTo(expected);
		}
		Truth.assertThat(decode(bytes.split(""))).isEqualTo(expected);
	}

	/** Guards against reading on after a fault that is found late. */
	@ParameterizedTest
	@ValueSource(strings = { "GET /a HTTP/1.1\r\nX: y\r\n Z: z\r\n\r\n", "GET /a HTTP/1.1\r\nX: y\n\r\n",
			"GET /a HTTP/1.1\n\n", "GET /a HTTP/1.1\r\nX: y\nZ: z\n\n", "\n", "\r\r\n",
			"PUT /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n",
			"PUT /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-3\r\nabc\r\n",
			"PUT /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\n" })
	void nothingIsDecodedBehindAFault(String fault) {
		String bytes = GET + fault + GET;
		for (int cut = 0; cut < bytes.length(); cut++) {
			List<String> decoded = decode(bytes.substring(0, cut), bytes.substring(cut));
			Truth.assertThat(decoded.get(0)).isEqualTo("GET /a ");
			Truth.assertThat(decoded).hasSize(2);
			Truth.assertThat(decoded.get(1)).endsWith("CorruptedFrameException");
		}
	}

	/** Guards against limits that depend on how bytes arrive, and against none. */
	@ParameterizedTest
	@CsvSource({ "26, 0, true", "27, 0, false", "1, 59, true", "1, 60, false", "1, 1000, false", "1000, 1, false" })
	void sizeOfAHeadIsBounded(int target, int fields, boolean accepted) {
		String first = "GET " + "/".repeat(target) + " HTTP/1.1\r\n";
		StringBuilder head = new StringBuilder(first);
		for (int left = fields; left > 0; left -= 10) {
			head.append("X: ").append("y".repeat(Math.max(0, Math.min(10, left) - 3))).append("\r\n");
		}
		String whole = head + "\r\n";
		for (String[] parts : List.of(new String[] { whole }, whole.split(""))) {
			List<String> decoded = decode(parts);
			Truth.assertThat(decoded).hasSize(1);
			Truth.assertThat(decoded.get(0).endsWith(TooLongFrameException.class.getSimpleName())).isEqualTo(!accepted);
		}
	}

	/** Guards against bytes without end that count for no limit. */
	@ParameterizedTest
	@ValueSource(strings = { "\r", "x", "x\r\n", "X: y\r\n", "\0" })
	void headWithoutEndIsRejected(String repeated) {
		List<String> decoded = decode("GET /a HTTP/1.1\r\nX" + repeated.repeat(500));
		Truth.assertThat(decoded).hasSize(1);
		Truth.assertThat(decoded.get(0)).endsWith("Exception");
	}

	/**
	 * Decodes bytes.
	 * @param parts the bytes, in the parts in which they arrive
	 * @return method, target and body of each request, or the class of its fault
	 */
	private static List<String> decode(String... parts) {
		EmbeddedChannel channel = new EmbeddedChannel(new ServerRequestDecoder(MAX_LINE, MAX_HEADERS, 8_192));
		List<String> requests = new ArrayList<>();
		for (String part : parts) {
			channel.writeInbound(Unpooled.copiedBuffer(part, StandardCharsets.ISO_8859_1));
			for (HttpObject next = channel.readInbound(); next != null; next = channel.readInbound()) {
				add(requests, next);
				ReferenceCountUtil.release(next);
			}
		}
		channel.finishAndReleaseAll();
		return requests;
	}

	private static void add(List<String> requests, HttpObject next) {
		if (next instanceof HttpRequest request) {
			requests.add(request.method() + " " + request.uri() + " ");
		}
		int last = requests.size() - 1;
		if (next.decoderResult().isFailure()) {
			requests.set(last, requests.get(last) + next.decoderResult().cause().getClass().getSimpleName());
		}
		else if (next instanceof HttpContent content) {
			requests.set(last, requests.get(last) + content.content().toString(StandardCharsets.ISO_8859_1));
		}
	}

}
