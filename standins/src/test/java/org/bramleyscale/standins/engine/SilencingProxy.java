package org.bramleyscale.standins.engine;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Passes connections on until told to let the open ones go silent, as a forgetful device
 * between two machines does: neither end hears of it, and new connections work.
 */
public final class SilencingProxy implements AutoCloseable {

	private static final int BUFFER = 8192;

	private final ServerSocket server;

	private final int target;

	private final List<Link> links = new CopyOnWriteArrayList<>();

	/**
	 * Starts to listen.
	 * @param target the port to pass connections on to
	 * @throws IOException if it can't listen
	 */
	public SilencingProxy(int target) throws IOException {
		this.server = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
		this.target = target;
		start(this::accept);
	}

	public int port() {
		return this.server.getLocalPort();
	}

	/**
	 * How many connections there were.
	 * @return their number
	 */
	public int connections() {
		return this.links.size();
	}

	public void silenceOpenConnections() {
		this.links.forEach((link) -> link.silent = true);
	}

	@Override
	public void close() throws IOException {
		this.server.close();
		for (Link link : this.links) {
			link.near.close();
			link.far.close();
		}
	}

	private void accept() throws IOException {
		while (true) {
			Socket near = this.server.accept();
			Link link = new Link(near, new Socket(InetAddress.getLoopbackAddress(), this.target));
			this.links.add(link);
			start(() -> link.pump(link.near, link.far));
			start(() -> link.pump(link.far, link.near));
		}
	}

	private static void start(Task task) {
		Thread thread = new Thread(() -> {
			try {
				task.run();
			}
			catch (IOException ex) {
				// The connection or the proxy was closed.
				Thread.currentThread().interrupt();
			}
		}, "silencing-proxy");
		thread.setDaemon(true);
		thread.start();
	}

	/**
	 * Something that ends with its connection.
	 */
	private interface Task {

		void run() throws IOException;

	}

	/**
	 * One connection and its other half.
	 */
	private static final class Link {

		private final Socket near;

		private final Socket far;

		private volatile boolean silent;

		private Link(Socket near, Socket far) {
			this.near = near;
			this.far = far;
		}

		private void pump(Socket from, Socket to) throws IOException {
			byte[] buffer = new byte[BUFFER];
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			int count = in.read(buffer);
			while (count >= 0) {
				if (!this.silent) {
					out.write(buffer, 0, count);
				}
				count = in.read(buffer);
			}
			if (!this.silent) {
				to.close();
			}
		}

	}

}
