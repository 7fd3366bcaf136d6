package org.bramleyscale.internal.gateway.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import com.google.common.net.HostAndPort;
import com.google.common.truth.Truth;
import org.bramleyscale.DataCentre;
import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.gateway.request.CallerRequest;
import org.bramleyscale.internal.gateway.request.OutgoingRequest;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * What becomes of responses without a length that come before their request was read,
 * over real sockets, with the system's own transport and without it.
 */
@Timeout(60)
class EarlyResponseTests {

	private static final String PART = "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\n\r\npart";

	/** The time between the end of a response and the reset that follows it. */
	private static final Duration UNTIL_RESET = Duration.ofMillis(50);

	static Stream<Arguments> responses() {
		return Stream.of(false, true)
			.flatMap((portable) -> Stream.of(300_000, 1_500_000, 4_000_000)
				.flatMap((length) -> Stream.of(Ending.values())
					.map((ending) -> Arguments.of(portable, length, ending))));
	}

	/** Guards against taking a part of a response to an unread upload for all of it. */
	@ParameterizedTest
	@MethodSource("responses")
	void earlyResponseWithoutALengthIsWholeOnlyIfItsRequestWasRead(boolean portable, int length, Ending ending)
			throws Exception {
		NettyLoop loop = portable ? NettyLoop.portable("test") : new NettyLoop("test");
		try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
			CompletableFuture.runAsync(() -> respond(server, length, ending));
			BackendConnectionPool connections = new BackendConnectionPool(loop, new PlainDialect(), DecisionLog.NONE);
			RecordingListener listener = new RecordingListener();
			Backend endpoint = new Backend(EndpointStart.withUnknownStart("e1"), new ServiceName("yard"),
					HostAndPort.fromParts("127.0.0.1", server.getLocalPort()), new DataCentre("east"), 4, false);
			loop.execute(() -> connections.send(endpoint, request(length), listener));
			String received = listener.ended.get(10, TimeUnit.SECONDS);
			String end = received.substring(received.lastIndexOf(' ') + 1);
			boolean whole = ending == Ending.AFTER_READING && loop.epoll();
			Truth.assertThat(end).isEqualTo(whole ? "closed" : "failed");
		}
		finally {
			loop.close();
		}
	}

	private static OutgoingRequest request(int length) {
		CallerRequest request = new CallerRequest("r1", "POST", "/book/1", "hire.example", List.of(), new byte[length],
				Optional.empty(), Optional.empty(), 0, 0, Optional.empty(), List.of());
		return new OutgoingRequest(request, Optional.empty(), Duration.ofSeconds(5), Optional.empty(), List.of(), 5,
				true);
	}

	private static void respond(ServerSocket server, int length, Ending ending) {
		try (Socket socket = server.accept()) {
			InputStream input = socket.getInputStream();
			String head = "";
			while (!head.endsWith("\r\n\r\n")) {
				head += (char) input.read();
			}
			if (ending == Ending.AFTER_READING) {
				input.readNBytes(length);
			}
			socket.getOutputStream().write(PART.getBytes(StandardCharsets.US_ASCII));
			socket.getOutputStream().flush();
			if (ending != Ending.BY_RESET) {
				socket.shutdownOutput();
				TimeUnit.NANOSECONDS.sleep(UNTIL_RESET.toNanos());
			}
			// What wasn't read makes the close a reset.
		}
		catch (IOException ex) {
			// The other end has given up.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * How a response ends.
	 */
	enum Ending {

		BY_RESET, BEFORE_READING, AFTER_READING

	}

}
