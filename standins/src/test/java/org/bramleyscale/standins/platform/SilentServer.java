package org.bramleyscale.standins.platform;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * An HTTP server on the loopback address that answers one request on each connection and
 * then stops responding on it without closing it.
 *
 * <p>
 * No request is answered until the expected number of requests has arrived, so that each
 * of the first ones has its own connection.
 */
final class SilentServer implements AutoCloseable {

	private static final byte[] REPLY = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
		.getBytes(StandardCharsets.US_ASCII);

	private final ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private final CountDownLatch expectedRequests;

	SilentServer(int expectedRequests) throws IOException {
		this.expectedRequests = new CountDownLatch(expectedRequests);
		this.threads.execute(this::accept);
	}

	String address() {
		return "127.0.0.1:" + this.listening.getLocalPort();
	}

	@Override
	public void close() throws IOException {
		this.listening.close();
		this.threads.shutdownNow();
	}

	private void accept() {
		try {
			while (true) {
				Socket connection = this.listening.accept();
				this.threads.execute(() -> answerOnce(connection));
			}
		}
		catch (IOException ex) {
			this.threads.shutdown();
		}
	}

	private void answerOnce(Socket connection) {
		try (connection) {
			BufferedReader reader = new BufferedReader(
					new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
			while (!reader.readLine().isEmpty()) {
				continue;
			}
			this.expectedRequests.countDown();
			this.expectedRequests.await(60, TimeUnit.SECONDS);
			OutputStream output = connection.getOutputStream();
			output.write(REPLY);
			output.flush();
			while (reader.readLine() != null) {
				continue;
			}
		}
		catch (IOException | InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
