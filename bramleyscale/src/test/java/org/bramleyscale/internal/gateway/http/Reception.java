package org.bramleyscale.internal.gateway.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * What a caller has received when its connection has ended.
 *
 * @param status the status, or 0 for none
 * @param body the body
 * @param complete whether the body is complete by its framing
 */
record Reception(int status, String body, boolean complete) {

	private static final int OK = 200;

	private static final String END_OF_HEAD = "\r\n\r\n";

	private static final String LAST_CHUNK = "0\r\n\r\n";

	/**
	 * Sends a request and reads to the end of the connection.
	 * @param gateway the gateway
	 * @param path the request's path
	 * @param version the caller's version of HTTP
	 * @return what was received
	 * @throws IOException if the gateway can't be reached
	 */
	static Reception of(GatewayFixture gateway, String path, String version) throws IOException {
		try (Socket socket = request(gateway, path, version)) {
			return read(socket.getInputStream());
		}
	}

	/**
	 * Sends a request and reads to the end of the connection.
	 * @param gateway the gateway
	 * @param request the bytes of the request, which asks for the connection to be closed
	 * @return what was received
	 * @throws IOException if the gateway can't be reached
	 */
	static Reception of(GatewayFixture gateway, String request) throws IOException {
		try (Socket socket = new Socket("127.0.0.1", gateway.port)) {
			socket.setSoTimeout(20_000);
			socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
			Reception reception = read(socket.getInputStream());
			return request.startsWith("HEAD ") ? reception.withoutBody() : reception;
		}
	}

	/**
	 * Sends a request and begins to read only after some time.
	 * @param gateway the gateway
	 * @param path the request's path
	 * @param stall the time
	 * @return what was received
	 * @throws IOException if the gateway can't be reached
	 */
	static Reception afterStall(GatewayFixture gateway, String path, Duration stall) throws IOException {
		try (Socket socket = request(gateway, path, "1.1")) {
			CountDownLatch stalled = new CountDownLatch(1);
			gateway.loop.schedule(stall, stalled::countDown);
			if (!stalled.await(10, TimeUnit.SECONDS)) {
				throw new IOException("the gateway's loop doesn't run");
			}
			return read(socket.getInputStream());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("interrupted", ex);
		}
	}

	/**
	 * Whether the caller takes what it has received for a whole, successful response.
	 * @return false for a failure and for a response that was broken off
	 */
	boolean succeeded() {
		return this.complete && this.status == OK;
	}

	/**
	 * Returns the part of the body that an endpoint has sent.
	 * @return the body; empty if the gateway itself responds
	 */
	String relayedBody() {
		return (this.status != OK) ? "" : this.body;
	}

	/**
	 * Returns what was received in response to a request for a head.
	 * @return a reception that is complete only if no body has come
	 */
	private Reception withoutBody() {
		return new Reception(this.status, this.body, this.status > 0 && this.body.isEmpty());
	}

	private static Socket request(GatewayFixture gateway, String path, String version) throws IOException {
		Socket socket = new Socket("127.0.0.1", gateway.port);
		socket.setSoTimeout(20_000);
		String request = "GET " + path + " HTTP/" + version + "\r\nHost: hire.example\r\nConnection: close\r\n\r\n";
		socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
		return socket;
	}

	private static Reception read(InputStream input) throws IOException {
		ByteArrayOutputStream read = new ByteArrayOutputStream();
		boolean orderly = true;
		try {
			input.transferTo(read);
		}
		catch (SocketException ex) {
			// A reset ends the response without completing it.
			orderly = false;
		}
		String bytes = read.toString(StandardCharsets.UTF_8);
		int headEnd = bytes.indexOf(END_OF_HEAD);
		if (headEnd < 0) {
			return new Reception(0, "", false);
		}
		String head = bytes.substring(0, headEnd).toLowerCase(java.util.Locale.ROOT);
		int status = Integer.parseInt(head.split(" ")[1]);
		String body = bytes.substring(headEnd + END_OF_HEAD.length());
		if (head.contains("transfer-encoding: chunked")) {
			return new Reception(status, withoutChunks(body), body.endsWith(LAST_CHUNK));
		}
		int length = head.indexOf("content-length: ");
		if (length >= 0) {
			String announced = head.substring(length + "content-length: ".length()).split("\r")[0];
			return new Reception(status, body, body.length() == Integer.parseInt(announced));
		}
		return new Reception(status, body, orderly);
	}

	private static String withoutChunks(String body) {
		StringBuilder content = new StringBuilder();
		String rest = body;
		int lineEnd = rest.indexOf("\r\n");
		while (lineEnd > 0) {
			int size = Integer.parseInt(rest.substring(0, lineEnd), 16);
			String chunk = rest.substring(lineEnd + 2);
			content.append(chunk, 0, Math.min(size, chunk.length()));
			rest = chunk.substring(Math.min(size + 2, chunk.length()));
			lineEnd = rest.indexOf("\r\n");
		}
		return content.toString();
	}

}
