import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A sound stand-in of a runner. It answers after a while, a stream with a few events. */
final class Runner {

	private static final int EVENTS = 5;

	private static final int EVENT_PAUSE_MILLIS = 20;

	private final String id;

	private final String service;

	private final int workMillis;

	private final Record record;

	private final ServerSocket server = new ServerSocket();

	Runner(String id, String service, String ip, int workMillis, Record record) throws IOException {
		this.id = id;
		this.service = service;
		this.workMillis = workMillis;
		this.record = record;
		this.server.bind(new InetSocketAddress(ip, 0), 400);
		Fleet.background(() -> {
			while (true) {
				Socket socket = this.server.accept();
				Fleet.background(() -> serve(socket));
			}
		});
	}

	String id() {
		return this.id;
	}

	/** The runner's entry of kind servers. */
	String entry(String zone, int slots) {
		return "{\"service\":\"" + this.service + "\",\"address\":\""
				+ this.server.getInetAddress().getHostAddress() + ":" + this.server.getLocalPort() + "\",\"zone\":\""
				+ zone + "\",\"version\":\"v1\",\"slots\":" + slots
				+ ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"combined\","
				+ "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"sequence\":4}";
	}

	private void serve(Socket socket) throws Exception {
		socket.setTcpNoDelay(true);
		InputStream in = new BufferedInputStream(socket.getInputStream());
		OutputStream out = socket.getOutputStream();
		for (Message request = Message.readRequest(in); request != null; request = Message.readRequest(in)) {
			if (request.target().equals("/health")) {
				Message.writeResponse(out, 200, "X-Bramleyscale-Runner-Id: " + this.id + "\r\n", new byte[0]);
			}
			else if (request.target().startsWith("/bramleyscale/")) {
				Message.writeResponse(out, 200, "Content-Type: application/json\r\n",
						"{\"free\":405000}".getBytes(StandardCharsets.UTF_8));
			}
			else if (!request.header("X-Bramleyscale-Expect-Runner").equals(this.id)) {
				Message.writeResponse(out, 421, "X-Bramleyscale-Runner-Id: " + this.id + "\r\n", new byte[0]);
			}
			else {
				run(request, out);
			}
		}
		socket.close();
	}

	private void run(Message request, OutputStream out) throws Exception {
		String attempt = request.header("X-Bramleyscale-Attempt-Id");
		this.record.add("run    " + attempt + " at " + this.id + ", " + request.body.length + " bytes");
		Thread.sleep(this.workMillis);
		String headers = "X-Bramleyscale-Attempt-Id: " + attempt + "\r\nX-Bramleyscale-Runner-Signature: " + this.id
				+ "." + attempt + "\r\n";
		if (request.header("X-Bramleyscale-Token-Usage").isEmpty()) {
			Message.writeResponse(out, 200, headers, ("done " + attempt).getBytes(StandardCharsets.UTF_8));
			return;
		}
		String last = request.header("Last-Event-Id");
		out.write(("HTTP/1.1 200 OK\r\n" + headers
				+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
			.getBytes(StandardCharsets.ISO_8859_1));
		for (int event = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; event <= EVENTS; event++) {
			String text = "id: " + event + "\ndata: piece " + event + "\n\n";
			out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			out.flush();
			Thread.sleep(EVENT_PAUSE_MILLIS);
		}
		out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

}
