package org.bramleyscale.internal.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

import org.bramleyscale.internal.address.AddressAnswer;
import org.bramleyscale.internal.time.EventLoop;

/**
 * An entry server on loopback over fakes.
 */
final class EntryFixture implements AutoCloseable {

	static final int BODY_BYTES = 2000;

	static final int STREAM_BUFFER_BYTES = 64 << 10;

	final EventLoop loop = new EventLoop("entry-test");

	final FakeConfiguration configuration = new FakeConfiguration();

	final FakeRequests requests = new FakeRequests();

	private final HttpClient client = HttpClient.newHttpClient();

	private final EntryServer server;

	EntryFixture(Duration keepAlive) throws Exception {
		this.server = EntryServer.builder()
			.address(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
			.scheduler(this.loop)
			.configuration(this.configuration)
			.addresses((account) -> new AddressAnswer(
					List.of(new AddressAnswer.Entry("127.0.0.1:8080", "entry-1~10", "rawang")), Duration.ofSeconds(30)))
			.requests(this.requests)
			.settings(new EntrySettings(1, BODY_BYTES, STREAM_BUFFER_BYTES, keepAlive, Duration.ofSeconds(65)))
			.handlers((chain) -> chain.get("extra", (context) -> context.getResponse().send("extra")))
			.build();
		this.server.start();
	}

	HttpResponse<String> send(HttpRequest request) throws Exception {
		return this.client.send(request, HttpResponse.BodyHandlers.ofString());
	}

	HttpRequest.Builder request(String path) {
		return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + this.server.port() + path))
			.header("Authorization", "Bearer " + FakeConfiguration.DESK_KEY);
	}

	HttpResponse<String> post(String path, String body) throws Exception {
		return send(request(path).POST(HttpRequest.BodyPublishers.ofString(body)).build());
	}

	/**
	 * Sends a request on a connection of its own, so that a test can close it or not read
	 * from it.
	 * @param path the path
	 * @param body the body
	 * @return the connection
	 * @throws IOException if it can't be made
	 */
	Socket open(String path, String body) throws IOException {
		Socket socket = new Socket();
		socket.setReceiveBufferSize(4096);
		socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), this.server.port()));
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		String head = "POST " + path + " HTTP/1.1\r\nHost: localhost\r\nAuthorization: Bearer "
				+ FakeConfiguration.DESK_KEY + "\r\nContent-Length: " + bytes.length + "\r\n\r\n";
		socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
		socket.getOutputStream().write(bytes);
		return socket;
	}

	@Override
	public void close() throws Exception {
		this.server.stop();
		this.loop.close();
	}

}
