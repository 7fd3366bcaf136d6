package org.bramleyscale.daemon.operator;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.google.common.truth.Truth;
import org.bramleyscale.daemon.CommandException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DaemonClientTests {

	private static final Duration LIMIT = Duration.ofSeconds(1);

	/** Guards against a part of a reply that is taken for a whole one. */
	@ParameterizedTest
	@ValueSource(strings = { "Content-Length: 10\r\n\r\n0123456789",
			"Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n" })
	void aReplyThatStopsIsAFailure(String rest) throws Exception {
		String reply = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + rest;
		List<String> wrong = new ArrayList<>();
		try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
				DaemonClient client = new DaemonClient(List.of("127.0.0.1:" + server.getLocalPort()), "", LIMIT)) {
			Thread thread = new Thread(() -> answer(server, reply), "cut-replies");
			thread.setDaemon(true);
			thread.start();
			for (int length = 0; length < reply.length(); length++) {
				String told = body(client);
				if (!told.equals("failed")) {
					wrong.add(length + " bytes: " + told);
				}
			}
			Truth.assertThat(body(client)).isEqualTo("0123456789");
		}
		Truth.assertThat(wrong).isEmpty();
	}

	private static String body(DaemonClient client) {
		try {
			return client.send(Call.get("/status")).body();
		}
		catch (CommandException ex) {
			return "failed";
		}
	}

	/** Sends a part to each connection, a byte more than to the one before. */
	private static void answer(ServerSocket server, String reply) {
		for (int length = 0; length <= reply.length(); length++) {
			try (Socket connection = server.accept()) {
				readHead(connection.getInputStream());
				connection.getOutputStream().write(reply.substring(0, length).getBytes(StandardCharsets.UTF_8));
			}
			catch (IOException ex) {
				// The test has ended.
			}
		}
	}

	private static void readHead(InputStream input) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			head.append((char) input.read());
		}
	}

}
