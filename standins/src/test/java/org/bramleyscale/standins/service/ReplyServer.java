package org.bramleyscale.standins.service;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Sends the same bytes to each connection that has sent a request, and ends it.
 */
final class ReplyServer implements AutoCloseable {

	private final ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

	private final byte[] reply;

	private final End end;

	ReplyServer(String reply, End end) throws IOException {
		this.reply = reply.getBytes(StandardCharsets.UTF_8);
		this.end = end;
		Thread acceptor = new Thread(this::accept, "reply-server");
		acceptor.setDaemon(true);
		acceptor.start();
	}

	int port() {
		return this.listening.getLocalPort();
	}

	@Override
	public void close() throws IOException {
		this.listening.close();
	}

	private void accept() {
		while (!this.listening.isClosed()) {
			try (Socket connection = this.listening.accept()) {
				readRequest(connection);
				connection.getOutputStream().write(this.reply);
				connection.getOutputStream().flush();
				connection.setSoLinger(this.end == End.RESET, 0);
			}
			catch (IOException ex) {
				// The test has ended, or the client has closed the connection.
			}
		}
	}

	/**
	 * Reads a request with a body of one byte; unread bytes would turn a close into a
	 * reset.
	 */
	private static void readRequest(Socket connection) throws IOException {
		StringBuilder request = new StringBuilder();
		while (!request.toString().endsWith("\r\n\r\nx")) {
			request.append((char) connection.getInputStream().read());
		}
	}

	/**
	 * How the connection ends.
	 */
	enum End {

		CLOSE, RESET

	}

}
