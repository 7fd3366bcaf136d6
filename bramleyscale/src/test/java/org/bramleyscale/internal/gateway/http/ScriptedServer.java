package org.bramleyscale.internal.gateway.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * An endpoint that responds to the requests on its connections with given bytes.
 *
 * <p>
 * In the bytes, {@code !reset} at the end resets the connection and {@code !close} closes
 * it. Safe for use by multiple threads.
 */
final class ScriptedServer implements AutoCloseable {

	final List<String> requests = new CopyOnWriteArrayList<>();

	private final ServerSocket server;

	private final List<String> responses;

	private volatile int connections;

	private int served;

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
				String bytes = response.replace("!reset", "").replace("!close", "");
				socket.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
				socket.getOutputStream().flush();
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
