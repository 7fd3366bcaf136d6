package org.bramleyscale.standins.response;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server that sends more bytes than its responses on a connection that is kept.
 *
 * <p>
 * The first request is answered with one response, all others with another one. The
 * further bytes are only sent on a connection that has carried a request. Safe for use by
 * multiple threads.
 */
final class RepeatingServer implements AutoCloseable {

	private static final long PATIENCE_SECONDS = 20;

	private static final long PAUSE_MILLIS = 3;

	private final ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

	private final List<Socket> open = new CopyOnWriteArrayList<>();

	private final AtomicInteger requests = new AtomicInteger();

	private final CountDownLatch repeated = new CountDownLatch(1);

	private final String first;

	private final String further;

	private final Moment moment;

	private final String next;

	/**
	 * Starts listening.
	 * @param first the response to the first request
	 * @param further the bytes that belong to no request
	 * @param moment when they are sent
	 * @param next the response to all other requests
	 * @throws IOException if it can't listen
	 */
	RepeatingServer(String first, String further, Moment moment, String next) throws IOException {
		this.first = first;
		this.further = further;
		this.moment = moment;
		this.next = next;
		thread(this::accept);
	}

	int port() {
		return this.listening.getLocalPort();
	}

	int connections() {
		return this.open.size();
	}

	/**
	 * Waits until the further bytes have been sent, or the client's next request is all
	 * that is missing for it.
	 * @throws InterruptedException if interrupted
	 */
	void awaitFurtherBytes() throws InterruptedException {
		this.repeated.await(PATIENCE_SECONDS, TimeUnit.SECONDS);
		if (this.moment == Moment.WHILE_IDLE) {
			Thread.sleep(PAUSE_MILLIS);
		}
	}

	@Override
	public void close() throws IOException {
		this.listening.close();
		for (Socket connection : this.open) {
			connection.close();
		}
	}

	private void accept() {
		try {
			while (true) {
				Socket connection = this.listening.accept();
				connection.setTcpNoDelay(true);
				this.open.add(connection);
				thread(() -> serve(connection));
			}
		}
		catch (IOException ex) {
			// The test has ended.
		}
	}

	private void serve(Socket connection) {
		try (connection) {
			for (boolean kept = false; Requests.read(connection.getInputStream()); kept = true) {
				if (this.requests.getAndIncrement() == 0) {
					answerFirst(connection);
				}
				else {
					send(connection, ((kept && this.moment == Moment.BEFORE_THE_NEXT) ? this.further : "") + this.next);
				}
			}
		}
		catch (IOException | InterruptedException ex) {
			// The client has closed the connection, or the test has ended.
		}
	}

	private void answerFirst(Socket connection) throws IOException, InterruptedException {
		try {
			send(connection, this.first + ((this.moment == Moment.WITH_THE_FIRST) ? this.further : ""));
			if (this.moment == Moment.WHILE_IDLE) {
				Thread.sleep(PAUSE_MILLIS);
				send(connection, this.further);
			}
		}
		finally {
			this.repeated.countDown();
		}
	}

	private static void send(Socket connection, String bytes) throws IOException {
		connection.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
		connection.getOutputStream().flush();
	}

	private static void thread(Runnable task) {
		Thread thread = new Thread(task, "repeating-server");
		thread.setDaemon(true);
		thread.start();
	}

	/**
	 * When the further bytes are sent.
	 */
	enum Moment {

		WITH_THE_FIRST, WHILE_IDLE, BEFORE_THE_NEXT

	}

}
