package org.bramleyscale.internal.gateway.http;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.net.HostAndPort;
import com.google.common.truth.Truth;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What becomes of calls of the store and of engines whose replies don't end, over real
 * sockets.
 */
@Timeout(60)
class EndlessReplyTests {

	private static final Duration LIMIT = Duration.ofMillis(800);

	private static final int MAX_REPLY_BYTES = 16 * 1024;

	/** Guards against a reply to a control call that fills the heap. */
	@ParameterizedTest
	@ValueSource(strings = { "!repeatHTTP/1.1 100 Continue\r\n\r\n", "!repeat\r\n", "!repeat\0",
			"HTTP/1.1 200 OK\r\n!repeatX: y\r\n", "HTTP/1.1 200 OK\r\nX: !repeaty", "HTTP/1.1 200 OK\r\n\r\n!repeatz",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n!repeat1\r\nz\r\n",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;!repeatx",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n!repeatX: y\r\n",
			"HTTP/1.1 200 OK\r\nContent-Length: 4000000000\r\n\r\n!repeatz", "HTTP/1.1 409 No\r\n\r\n!repeatz" })
	void callWhoseReplyDoesNotEndFailsInTime(String reply) throws Exception {
		NettyLoop loop = new NettyLoop("test");
		try (ScriptedServer server = new ScriptedServer(List.of(reply + "!endless"))) {
			JsonClient client = new JsonClient(loop, HostAndPort.fromParts("127.0.0.1", server.port()),
					MAX_REPLY_BYTES);
			CompletableFuture<Boolean> failed = new CompletableFuture<>();
			loop.execute(() -> client.call(HttpMethod.POST, "/order", new byte[2], LIMIT)
				.whenComplete((response, failure) -> failed.complete(failure != null)));
			Truth.assertThat(failed.get(LIMIT.plusSeconds(2).toMillis(), TimeUnit.MILLISECONDS)).isTrue();
			Truth.assertThat(server.awaitEndOfEndless(Duration.ofSeconds(2))).isTrue();
		}
		finally {
			loop.close();
		}
	}

}
