package org.bramleyscale.standins.response;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A server that ends each connection after a part of a response: the first one before its
 * first byte, each further one a byte later. Safe for use by multiple threads.
 */
final class CutServer implements AutoCloseable {

	private final ServerSocket listening = new ServerSocket(0, 500, InetAddress.getLoopbackAddress());

	private final byte[] response;

	private final End end;

	CutServer(String response, End end) throws IOException {
		this.response = response.getBytes(StandardCharsets.UTF_8);
		this.end = end;
		Thread acceptor = new Thread(this::accept, "cut-server");
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
		for (int length = 0; length < this.response.length; length++) {
			try (Socket connection = this.listening.accept()) {
				Requests.read(connection.getInputStream());
				connection.getOutputStream().write(this.response, 0, length);
				connection.getOutputStream().flush();
				connection.setSoLinger(this.end == End.RESET, 0);
			}
			catch (IOException ex) {
				// The test has ended, or the client has closed the connection.
			}
		}
	}

	/**
	 * How a connection ends.
	 */
	enum End {

		CLOSE, RESET

	}

}
