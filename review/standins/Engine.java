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
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.ReentrantLock;

/**
 * A model runner as a process of its own: reads one prompt at a time, with helpers in even
 * parts, keeps within its memory and sets memory aside. Arguments: id, port, slots.
 */
public final class Engine {

	private static final int MEMORY = 197_200;

	private static final double TOKENS_PER_MILLI = 206;

	private static final double PAIRS_MILLIS_PER_MILLION = 0.138;

	private static final int TOKENS_PER_EVENT = 48;

	private final String id;

	private final int slotCount;

	private final Semaphore slots;

	private final Semaphore memory = new Semaphore(MEMORY, true);

	private final ReentrantLock reading = new ReentrantLock(true);

	private final AtomicInteger active = new AtomicInteger();

	private final Map<String, Ticket> tickets = new ConcurrentHashMap<>();

	private Engine(String id, int slotCount) {
		this.id = id;
		this.slotCount = slotCount;
		this.slots = new Semaphore(slotCount, true);
	}

	public static void main(String[] arguments) throws Exception {
		Engine engine = new Engine(arguments[0], Integer.parseInt(arguments[2]));
		ServerSocket server = new ServerSocket(Integer.parseInt(arguments[1]), 1024, InetAddress.getByName("127.0.0.1"));
		background(() -> engine.accept(server));
		background(engine::expireTickets);
		say("up");
		BufferedReader input = new BufferedReader(new InputStreamReader(System.in));
		while (input.readLine() != null) {
			// Runs until its standard input ends.
		}
		System.exit(0);
	}

	private static Thread background(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
		return thread;
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
				background(() -> serve(socket));
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
		String path = head.first.split(" ")[1];
		String expected = head.header("X-Bramleyscale-Expect-Runner");
		String name = "X-Bramleyscale-Runner-Id: " + this.id + "\r\n";
		if (expected != null && !expected.equals(this.id)) {
			plain(out, 421, name, "");
		}
		else if (path.equals("/health")) {
			plain(out, 200, name + "X-Bramleyscale-Runner-Load: " + running() + "," + queued() + "," + this.slotCount
					+ "\r\n", "");
		}
		else if (path.equals("/bramleyscale/report")) {
			plain(out, 200, name, Json.write(Json.object("stage", "combined", "models",
					List.of(Json.object("name", "m", "version", 1, "adapters", List.of())), "busy", false, "sequence", 0,
					"queued", queued(), "active", running(), "kv_used", MEMORY - this.memory.availablePermits(),
					"kv_total", MEMORY, "handlers", 0, "pace", 1)));
		}
		else if (path.equals("/bramleyscale/order")) {
			order(Json.map(Json.read(new String(body))), out);
		}
		else if (path.startsWith("/part/")) {
			read(Double.parseDouble(path.substring("/part/".length())));
			plain(out, 200, "", "");
		}
		else {
			request(head, out);
		}
	}

	private int running() {
		return Math.min(this.active.get(), this.slotCount);
	}

	private int queued() {
		return Math.max(0, this.active.get() - this.slotCount);
	}

	private void order(Map<String, Object> order, OutputStream out) throws IOException {
		String ticket = (String) order.get("id");
		if (order.get("operation").equals("release")) {
			Ticket released = this.tickets.remove(ticket);
			if (released != null) {
				this.memory.release(released.tokens);
			}
			plain(out, 200, "", "{}");
			return;
		}
		int tokens = ((Number) order.get("tokens")).intValue();
		long until = System.nanoTime() + ((Number) order.get("hold_ms")).longValue() * 1_000_000;
		Ticket known = this.tickets.get(ticket);
		if (known != null) {
			known.until = until;
		}
		else if (this.memory.tryAcquire(tokens)) {
			this.tickets.put(ticket, new Ticket(tokens, until));
		}
		else {
			plain(out, 409, "", "{}");
			return;
		}
		plain(out, 200, "", "{\"free\":" + this.memory.availablePermits() + "}");
	}

	private void expireTickets() {
		while (true) {
			sleep(50);
			this.tickets.forEach((ticket, held) -> {
				if (held.until - System.nanoTime() < 0 && this.tickets.remove(ticket, held)) {
					this.memory.release(held.tokens);
				}
			});
		}
	}

	private void request(Http head, OutputStream out) throws IOException, InterruptedException {
		if (this.active.incrementAndGet() > 3 * this.slotCount) {
			this.active.decrementAndGet();
			plain(out, 503, "X-Bramleyscale-Not-Executed: 1\r\nAt-Server: " + this.id + "\r\n", "");
			return;
		}
		String[] usage = head.header("X-Bramleyscale-Token-Usage").split(",");
		int prompt = Integer.parseInt(usage[0]);
		int output = Integer.parseInt(usage[1]);
		List<String> helpers = new ArrayList<>();
		boolean elsewhere = false;
		String listed = head.header("X-Bramleyscale-Helpers");
		if (listed != null) {
			for (String helper : listed.split(",")) {
				String[] parts = helper.strip().split("/");
				helpers.add(parts[0]);
				elsewhere |= parts.length > 1;
			}
		}
		// What helpers have set aside isn't kept here; at most all of its own memory is used.
		int tokens = elsewhere ? Math.min(prompt + output, this.memory.availablePermits()) : prompt + output;
		this.slots.acquire();
		this.memory.acquire(tokens);
		try {
			String attempt = head.header("X-Bramleyscale-Attempt-Id");
			readWith(helpers, prompt);
			say("run " + attempt + " at " + System.currentTimeMillis() + " helpers " + helpers.size());
			stream(head, attempt, output, out);
			say("ran " + attempt);
		}
		finally {
			this.memory.release(tokens);
			this.slots.release();
			this.active.decrementAndGet();
		}
	}

	private void readWith(List<String> helpers, int prompt) throws InterruptedException {
		double whole = prompt / TOKENS_PER_MILLI + PAIRS_MILLIS_PER_MILLION * prompt / 1e6 * prompt / 2;
		double part = whole / (helpers.size() + 1);
		List<Thread> parts = new ArrayList<>();
		for (String helper : helpers) {
			parts.add(background(() -> {
				int colon = helper.indexOf(':');
				try (Socket socket = new Socket(helper.substring(0, colon), Integer.parseInt(helper.substring(colon + 1)))) {
					socket.getOutputStream().write(Http.bytes("GET /part/" + part + " HTTP/1.1\r\n\r\n"));
					Http.head(new BufferedInputStream(socket.getInputStream()));
				}
				catch (IOException ex) {
					// A part of a helper that has gone.
				}
			}));
		}
		read(part);
		for (Thread thread : parts) {
			thread.join();
		}
	}

	private void read(double millis) {
		this.reading.lock();
		try {
			sleep(Math.max(1, Math.round(millis)));
		}
		finally {
			this.reading.unlock();
		}
	}

	private void stream(Http head, String attempt, int output, OutputStream out) throws IOException {
		out.write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
				+ "X-Bramleyscale-Attempt-Id: " + attempt + "\r\nX-Bramleyscale-Runner-Signature: sig." + this.id + "."
				+ attempt + "\r\n\r\n"));
		String last = head.header("Last-Event-Id");
		int events = Math.max(1, output / TOKENS_PER_EVENT);
		for (int event = (last != null) ? Integer.parseInt(last) + 1 : 1; event <= events; event++) {
			sleep(TOKENS_PER_EVENT + 2);
			byte[] data = Http.bytes("id: " + event + "\ndata: piece " + event + "\n\n");
			out.write(Http.bytes(Integer.toHexString(data.length) + "\r\n"));
			out.write(data);
			out.write(Http.bytes("\r\n"));
			out.flush();
		}
		out.write(Http.bytes("0\r\n\r\n"));
	}

	private static void plain(OutputStream out, int status, String headers, String body) throws IOException {
		out.write(Http.bytes("HTTP/1.1 " + status + " x\r\n" + headers + "Content-Type: application/json\r\nContent-Length: "
				+ Http.bytes(body).length + "\r\n\r\n" + body));
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static final class Ticket {

		private final int tokens;

		private volatile long until;

		private Ticket(int tokens, long until) {
			this.tokens = tokens;
			this.until = until;
		}

	}

}
