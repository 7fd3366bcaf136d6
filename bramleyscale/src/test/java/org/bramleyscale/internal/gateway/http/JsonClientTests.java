package org.bramleyscale.internal.gateway.http;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.net.HostAndPort;
import com.google.common.truth.Truth;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Contract tests of {@link JsonClient} over real sockets.
 */
@Timeout(30)
class JsonClientTests {

	private static final Duration LIMIT = Duration.ofSeconds(5);

	private final NettyLoop loop = new NettyLoop("test");

	@AfterEach
	void close() {
		this.loop.close();
	}

	/** Guards against reading a part of the store's list as all of it. */
	@ParameterizedTest
	@CsvSource(delimiter = '|',
			value = { "Content-Length: 2\\r\\n\\r\\n{} | {}", "\\r\\n{}!close | {}", "\\r\\n{}!reset | failed",
					"Content-Length: 4\\r\\n\\r\\n{}!close | failed", "Content-Length: 4\\r\\n\\r\\n{}!reset | failed",
					"Transfer-Encoding: chunked\\r\\n\\r\\n2\\r\\n{}\\r\\n!close | failed" })
	void responseIsCompleteOnlyByItsOwnFraming(String rest, String received) throws Exception {
		try (ScriptedServer server = new ScriptedServer(
				List.of("HTTP/1.1 200 OK\r\n" + rest.replace("\\r\\n", "\r\n")))) {
			Truth.assertThat(call(server).get(20, TimeUnit.SECONDS)).isEqualTo(received);
		}
	}

	/** Guards against taking the end that this side makes for the end of a response. */
	@Test
	void responseWithoutLengthIsBrokenOffIfTheClientShutsDown() throws Exception {
		try (ScriptedServer server = new ScriptedServer(List.of("HTTP/1.1 200 OK\r\n\r\n{}"))) {
			CompletableFuture<String> received = call(server);
			CompletableFuture<Void> settled = new CompletableFuture<>();
			this.loop.schedule(Duration.ofMillis(300), () -> settled.complete(null));
			settled.get(20, TimeUnit.SECONDS);
			this.loop.close();
			Truth.assertThat(received.get(20, TimeUnit.SECONDS)).isEqualTo("failed");
		}
	}

	private CompletableFuture<String> call(ScriptedServer server) {
		CompletableFuture<String> received = new CompletableFuture<>();
		this.loop.execute(() -> new JsonClient(this.loop, HostAndPort.fromParts("127.0.0.1", server.port()))
			.call(HttpMethod.GET, "/objects", new byte[0], LIMIT)
			.whenComplete((response, failure) -> received
				.complete((failure != null) ? "failed" : new String(response.body()))));
		return received;
	}

}
