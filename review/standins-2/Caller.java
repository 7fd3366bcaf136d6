import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** One client's channel to a daemon. */
final class Caller implements AutoCloseable {

	private static final AtomicLong attempts = new AtomicLong(0x9c41d07b00000000L);

	private final Socket socket = new Socket();

	private final InputStream in;

	Caller(Daemon daemon) throws IOException {
		this.socket.connect(daemon.callers(), 1_000);
		this.socket.setTcpNoDelay(true);
		this.in = new BufferedInputStream(this.socket.getInputStream());
	}

	static String newAttempt() {
		return String.format("%016x", attempts.incrementAndGet());
	}

	/** Sends a head; more headers end with a line end each. */
	void sendHead(String path, String attempt, String key, long deadlineMillis, String moreHeaders, int bodyBytes)
			throws IOException {
		write(("POST " + path + "2f HTTP/1.1\r\nHost: " + Fleet.HOST + "\r\nX-Bramleyscale-Attempt-Id: " + attempt
				+ "\r\nX-Bramleyscale-Deadline-Ms: " + deadlineMillis + "\r\nAuthorization: Bearer " + key + "\r\n"
				+ moreHeaders + "Content-Length: " + bodyBytes + "\r\n\r\n")
			.getBytes(StandardCharsets.ISO_8859_1));
	}

	void write(byte[] bytes) throws IOException {
		OutputStream out = this.socket.getOutputStream();
		out.write(bytes);
		out.flush();
	}

	Message read(long limitMillis) throws IOException {
		this.socket.setSoTimeout((int) Math.max(1, limitMillis));
		return Message.readResponse(this.in);
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
