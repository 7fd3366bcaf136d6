package org.bramleyscale.internal.gateway.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * An endpoint that responds to the requests on its connections with given bytes.
 *
 * <p>
 * In the bytes, {@code !reset} at the end resets the connection, {@code !close} closes
 * it, {@code !shut} ends the output only, and {@code !endless} repeats what stands
 * between {@code !repeat} and it until the other end closes the connection. Safe for use
 * by multiple threads.
 */
final class ScriptedServer implements AutoCloseable {

	private static final int BLOCK_BYTES = 8_192;

	final List<String> requests = new CopyOnWriteArrayList<>();

	/** The connections on which bytes without end are being sent. */
	private int endless;

	private final ServerSocket server;

	private final List<String> responses;

	private volatile int connections;

	private int served;

	private int ended;

	ScriptedServer(List<String> responses) throws IOException {
		this.responses = responses;
		this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		Thread acceptor = new Thread(this::accept, "scripted-server");
		acceptor.setDaemon(true);
		acceptor.start();
	}

	int port() {
		return this.server.getLocalPort();
	}

	int connections() {
		return this.connections;
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.server.accept();
				this.connections++;
				Thread thread = new Thread(() -> serve(socket), "scripted-connection");
				thread.setDaemon(true);
				thread.start();
			}
		}
		catch (IOException ex) {
			// The test has ended.
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			for (String request = readHead(socket.getInputStream()); request != null; request = readHead(
					socket.getInputStream())) {
				this.requests.add(request);
				String response = next();
				boolean reset = response.endsWith("!reset");
				boolean close = response.endsWith("!close");
				if (response.endsWith("!endless")) {
					sendWithoutEnd(socket, response);
				}
				String bytes = response.replace("!reset", "").replace("!close", "").replace("!shut", "");
				socket.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
				socket.getOutputStream().flush();
				if (response.endsWith("!shut")) {
					socket.shutdownOutput();
				}
				if (reset) {
					socket.setSoLinger(true, 0);
				}
				if (reset || close) {
					return;
				}
			}
		}
		catch (IOException ex) {
			// The other end has closed the connection.
		}
		finally {
			countEnded();
		}
	}

	private void sendWithoutEnd(Socket socket, String response) throws IOException {
		int repeat = response.indexOf("!repeat");
		String part = response.substring(repeat + "!repeat".length(), response.indexOf("!endless"));
		byte[] bytes = part.repeat(Math.max(1, BLOCK_BYTES / part.length())).getBytes(StandardCharsets.UTF_8);
		socket.getOutputStream().write(response.substring(0, repeat).getBytes(StandardCharsets.UTF_8));
		countEndless(1);
		try {
			while (true) {
				socket.getOutputStream().write(bytes);
			}
		}
		finally {
			countEndless(-1);
		}
	}

	private synchronized void countEndless(int change) {
		this.endless += change;
		notifyAll();
	}

	/**
	 * Waits until the other end has closed all connections with bytes without end.
	 * @param limit the longest time to wait
	 * @return false if one was still open
	 */
	synchronized boolean awaitEndOfEndless(Duration limit) {
		long end = System.nanoTime() + limit.toNanos();
		try {
			for (long left = limit.toMillis(); this.endless > 0
					&& left > 0; left = (end - System.nanoTime()) / 1_000_000) {
				wait(left);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return this.endless == 0;
	}

	private synchronized void countEnded() {
		this.ended++;
		notifyAll();
	}

	/**
	 * Waits until connections have been closed by either end.
	 * @param connections the number of connections
	 * @param limit the longest time to wait
	 * @return false if fewer were closed
	 */
	synchronized boolean awaitEnded(int connections, Duration limit) throws InterruptedException {
		long end = System.nanoTime() + limit.toNanos();
		for (long left = limit.toMillis(); this.ended < connections
				&& left > 0; left = (end - System.nanoTime()) / 1_000_000) {
			wait(left);
		}
		return this.ended >= connections;
	}

	private synchronized String next() {
		return this.responses.get(Math.min(this.served++, this.responses.size() - 1));
	}

	private static String readHead(InputStream input) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = input.read();
			if (next < 0) {
				return null;
			}
			head.append((char) next);
		}
		return head.toString();
	}

}
