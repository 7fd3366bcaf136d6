package standins;

import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A runner as a process of its own. Arguments: id, port, slots, whether it streams, events
 * of a stream, ms between them or ms of work. A line "errors 0.4" on its standard input
 * lets it answer that share of its requests with its own 500. It ends when its standard
 * input ends.
 */
public final class Runner {

	private final String id;

	private final Semaphore slots;

	private final int slotCount;

	private final boolean streams;

	private final int events;

	private final int millis;

	private volatile double errors;

	private Runner(String[] arguments) {
		this.id = arguments[0];
		this.slotCount = Integer.parseInt(arguments[2]);
		this.slots = new Semaphore(3 * this.slotCount, true);
		this.streams = Boolean.parseBoolean(arguments[3]);
		this.events = Integer.parseInt(arguments[4]);
		this.millis = Integer.parseInt(arguments[5]);
	}

	public static void main(String[] arguments) throws Exception {
		Runner runner = new Runner(arguments);
		ServerSocket server = new ServerSocket(Integer.parseInt(arguments[1]), 1024, InetAddress.getByName("127.0.0.1"));
		Thread acceptor = new Thread(() -> runner.accept(server));
		acceptor.setDaemon(true);
		acceptor.start();
		say("up");
		BufferedReader input = new BufferedReader(new InputStreamReader(System.in));
		for (String line = input.readLine(); line != null; line = input.readLine()) {
			if (line.startsWith("errors ")) {
				runner.errors = Double.parseDouble(line.substring("errors ".length()));
			}
		}
		System.exit(0);
	}

	private static synchronized void say(String line) {
		System.out.println(line);
		System.out.flush();
	}

	private void accept(ServerSocket server) {
		while (true) {
			try {
				Socket socket = server.accept();
				socket.setTcpNoDelay(true);
				Thread thread = new Thread(() -> serve(socket), "channel");
				thread.setDaemon(true);
				thread.start();
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream in = new BufferedInputStream(socket.getInputStream());
			OutputStream out = socket.getOutputStream();
			for (Http head = Http.head(in); head != null; head = Http.head(in)) {
				answer(head, head.body(in), out);
				out.flush();
			}
		}
		catch (IOException | InterruptedException ex) {
			// The channel has ended.
		}
	}

	private void answer(Http head, byte[] body, OutputStream out) throws IOException, InterruptedException {
		String[] words = head.first.split(" ");
		String attempt = head.header("X-Bramleyscale-Attempt-Id");
		String expected = head.header("X-Bramleyscale-Expect-Runner");
		if (words[1].equals("/bramleyscale/report") || words[1].equals("/health")) {
			plain(out, 200, "X-Bramleyscale-Runner-Id: " + this.id + "\r\n", "{}");
			return;
		}
		if (expected != null && !expected.equals(this.id)) {
			plain(out, 421, "X-Bramleyscale-Runner-Id: " + this.id + "\r\n", "");
			return;
		}
		if (!this.slots.tryAcquire()) {
			plain(out, 503, "X-Bramleyscale-Not-Executed: 1\r\n", "");
			return;
		}
		try {
			String common = "X-Bramleyscale-Attempt-Id: " + attempt + "\r\nX-Bramleyscale-Runner-Signature: sig." + this.id
					+ "." + attempt + "\r\n";
			boolean fails = ThreadLocalRandom.current().nextDouble() < this.errors;
			say("run " + attempt + " at " + System.currentTimeMillis() + " " + words[0] + " " + words[1] + " body " + body.length + " last "
					+ head.header("Last-Event-Id") + (fails ? " fails" : ""));
			if (fails) {
				Thread.sleep(5);
				plain(out, 500, common, "failed");
			}
			else if (this.streams) {
				stream(head, common, out);
			}
			else {
				Thread.sleep(this.millis);
				plain(out, 200, common, "done " + attempt);
				say("ran " + attempt);
			}
		}
		finally {
			this.slots.release();
		}
	}

	private void stream(Http head, String common, OutputStream out) throws IOException, InterruptedException {
		out.write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + common
				+ "\r\n"));
		String last = head.header("Last-Event-Id");
		for (int event = (last != null) ? Integer.parseInt(last) + 1 : 1; event <= this.events; event++) {
			Thread.sleep(this.millis);
			chunk(out, "id: " + event + "\ndata: piece " + event + "\n\n");
		}
		out.write(Http.bytes("0\r\n\r\n"));
	}

	private static void chunk(OutputStream out, String text) throws IOException {
		byte[] data = Http.bytes(text);
		out.write(Http.bytes(Integer.toHexString(data.length) + "\r\n" + text + "\r\n"));
		out.flush();
	}

	private static void plain(OutputStream out, int status, String headers, String body) throws IOException {
		out.write(Http.bytes("HTTP/1.1 " + status + " x\r\n" + headers + "Content-Length: " + Http.bytes(body).length
				+ "\r\n\r\n" + body));
	}

}
