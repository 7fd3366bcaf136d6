package standins;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Daemons are stopped in turn while clients send bookings whose bodies take a while to
 * arrive. A booking that was read whole and given to a runner must be answered.
 */
public final class StopCase {

	private static final int CLIENTS = 280;

	private static final int STOPS = 14;

	/** No stop begins later, so that the case ends within 120 s. */
	private static final int LAST_STOP_MILLIS = 96_000;

	private static final int DEADLINE_MILLIS = 3_000;

	private static final int GRACE_MILLIS = 8_000;

	private static final int TTL_MILLIS = 1_000;

	private static final byte[] BODY = new byte[3_600];

	private final boolean trouble;

	private final Deployment deployment;

	/** The runner that began each attempt, and when. */
	private final Map<String, Long> began = new ConcurrentHashMap<>();

	private final Map<String, Integer> runs = new ConcurrentHashMap<>();

	private final Set<String> ended = ConcurrentHashMap.newKeySet();

	private final Map<String, Long> stoppedAt = new ConcurrentHashMap<>();

	private final List<Attempt> attempts = new ArrayList<>();

	private final AtomicInteger ids = new AtomicInteger();

	private volatile boolean running = true;

	private StopCase(Path record, boolean trouble) throws IOException {
		this.trouble = trouble;
		this.deployment = new Deployment(record, 3, this::runnerLine);
	}

	public static void main(String[] arguments) throws Exception {
		int status;
		try {
			status = new StopCase(Path.of(arguments[0]), !"0".equals(System.getenv("TROUBLE"))).run();
		}
		catch (Exception ex) {
			ex.printStackTrace();
			status = 2;
		}
		System.exit(status);
	}

	private void runnerLine(String runner, String line) {
		String[] words = line.split(" ");
		if (words[0].equals("run")) {
			this.began.put(words[1], this.deployment.millis());
			this.runs.merge(words[1], 1, Integer::sum);
		}
		else if (words[0].equals("ran")) {
			this.ended.add(words[1]);
		}
	}

	private int run() throws Exception {
		try (this.deployment) {
			this.deployment.configure(7,
					List.of(Deployment.route("r-book", "/book/", "non_idempotent", "yard-app", DEADLINE_MILLIS, 386, 1, 0)),
					List.of(Deployment.plainService("yard-app")));
			for (int i = 1; i <= 4; i++) {
				this.deployment.startRunner("yard-app", "i-yard-" + i, 6, false, 0, 86);
			}
			this.deployment.startDaemons();
			Thread.sleep(3_000);
			List<Thread> clients = new ArrayList<>();
			for (int i = 0; i < CLIENTS; i++) {
				int number = i;
				Thread thread = new Thread(() -> client(number));
				thread.setDaemon(true);
				thread.start();
				clients.add(thread);
			}
			Thread.sleep(4_000);
			for (int i = 0; i < STOPS && this.deployment.millis() < LAST_STOP_MILLIS; i++) {
				Deployment.Daemon daemon = this.deployment.daemons.get(i % 3);
				if (this.trouble) {
					this.stoppedAt.put(daemon.front(), this.deployment.millis());
					daemon.terminate();
					if (!daemon.awaitEnd(GRACE_MILLIS)) {
						return 2;
					}
					Thread.sleep(300);
					daemon.start();
					daemon.awaitReady();
					Thread.sleep(1_500);
				}
				else {
					Thread.sleep(6_000);
				}
			}
			this.running = false;
			for (Thread client : clients) {
				client.join(6_000);
			}
			Thread.sleep(300);
			return judge();
		}
	}

	private int judge() {
		int answered = 0;
		int refused = 0;
		int unread = 0;
		int lost = 0;
		int other = 0;
		List<Attempt> all;
		synchronized (this.attempts) {
			all = List.copyOf(this.attempts);
		}
		for (Attempt attempt : all) {
			boolean begun = this.began.containsKey(attempt.id);
			boolean inTime = attempt.endedAt - attempt.headSentAt < DEADLINE_MILLIS;
			if (attempt.status == 200) {
				answered++;
			}
			else if (attempt.status == 503) {
				refused++;
			}
			else if (attempt.status == 0 && attempt.sentWhole && begun && inTime) {
				// The channel ended without an answer, once the request had been passed on.
				lost++;
				this.deployment.note("LOST " + attempt.id + " at " + attempt.address + ", last byte sent "
						+ attempt.lastByteAt + ", run from " + this.began.get(attempt.id) + ", channel ended "
						+ attempt.endedAt + ", SIGTERM " + attempt.stopAt);
			}
			else if (attempt.status == 0 && !begun) {
				unread++;
			}
			else {
				other++;
				this.deployment.note("OTHER " + attempt.id + " status " + attempt.status + " " + attempt.failure);
			}
		}
		long twice = this.runs.values().stream().filter((count) -> count > 1).count();
		String summary = "sent " + all.size() + " answered " + answered + " refused as not run " + refused
				+ " not read " + unread + " lost " + lost + " other " + other + " run twice " + twice;
		this.deployment.note(summary);
		System.out.println(summary);
		if (answered == 0) {
			return 2;
		}
		return (lost > 0) ? 1 : 0;
	}

	/** Each client has its own cached addresses; half of them keep an answer three times as long. */
	private void client(int number) {
		ThreadLocalRandom random = ThreadLocalRandom.current();
		long keep = (number % 2 == 0) ? TTL_MILLIS : 3 * TTL_MILLIS;
		List<String> addresses = List.of();
		long resolvedAt = Long.MIN_VALUE / 2;
		Channel channel = null;
		sleep(random.nextInt(3_000));
		while (this.running) {
			if (this.deployment.millis() - resolvedAt >= keep || addresses.isEmpty()) {
				List<String> fresh = resolve();
				if (fresh != null && !fresh.isEmpty()) {
					addresses = fresh;
					resolvedAt = this.deployment.millis();
					if (channel != null && !addresses.contains(channel.address)) {
						channel.close();
						channel = null;
					}
				}
			}
			if (addresses.isEmpty()) {
				sleep(100);
				continue;
			}
			if (channel == null) {
				Set<String> failed = new HashSet<>();
				channel = open(addresses, failed);
				if (channel == null) {
					sleep(100);
					continue;
				}
			}
			channel = send(channel) ? channel : null;
			sleep(random.nextInt(100));
		}
		if (channel != null) {
			channel.close();
		}
	}

	private List<String> resolve() {
		List<Deployment.Daemon> daemons = new ArrayList<>(this.deployment.daemons);
		java.util.Collections.shuffle(daemons);
		for (Deployment.Daemon daemon : daemons) {
			List<String> found = daemon.resolve();
			if (found != null && !found.isEmpty()) {
				return found;
			}
		}
		return null;
	}

	private Channel open(List<String> addresses, Set<String> failed) {
		List<String> left = new ArrayList<>(addresses);
		java.util.Collections.shuffle(left);
		for (String address : left) {
			try {
				return new Channel(address);
			}
			catch (IOException ex) {
				failed.add(address);
			}
		}
		return null;
	}

	/** Sends a booking whose body arrives in pieces; returns whether the channel stays open. */
	private boolean send(Channel channel) {
		Attempt attempt = new Attempt();
		attempt.id = String.format("a%07d", this.ids.incrementAndGet());
		attempt.address = channel.address;
		boolean keeps = false;
		try {
			channel.out.write(Http.bytes("POST /book/1 HTTP/1.1\r\nHost: " + Deployment.HOST
					+ "\r\nX-Bramleyscale-Attempt-Id: " + attempt.id + "\r\nX-Bramleyscale-Deadline-Ms: "
					+ DEADLINE_MILLIS + "\r\nAuthorization: Bearer " + Deployment.KEY + "\r\nContent-Length: "
					+ BODY.length + "\r\n\r\n"));
			attempt.headSentAt = this.deployment.millis();
			int pieces = 4;
			int pause = ThreadLocalRandom.current().nextInt(500, 2_000) / pieces;
			for (int piece = 0; piece < pieces; piece++) {
				sleep(pause);
				channel.out.write(Arrays.copyOfRange(BODY, piece * BODY.length / pieces, (piece + 1) * BODY.length / pieces));
			}
			attempt.lastByteAt = this.deployment.millis();
			attempt.sentWhole = true;
			Http head = Http.head(channel.in);
			if (head == null) {
				throw new IOException("channel closed");
			}
			byte[] body = head.body(channel.in);
			attempt.status = head.status();
			if (attempt.status == 200 && !new String(body).equals("done " + attempt.id)) {
				attempt.status = -1;
				attempt.failure = "wrong body";
			}
			keeps = !head.closes();
		}
		catch (IOException ex) {
			attempt.failure = ex.toString();
		}
		attempt.endedAt = this.deployment.millis();
		attempt.stopAt = this.stoppedAt.getOrDefault(attempt.address, -1L);
		synchronized (this.attempts) {
			this.attempts.add(attempt);
		}
		this.deployment.note("client " + attempt.id + " at " + attempt.address + " head " + attempt.headSentAt + " last "
				+ attempt.lastByteAt + " status " + attempt.status + " " + attempt.failure);
		if (!keeps) {
			channel.close();
		}
		return keeps;
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static final class Channel {

		private final String address;

		private final Socket socket = new Socket();

		private final InputStream in;

		private final OutputStream out;

		private Channel(String address) throws IOException {
			this.address = address;
			int colon = address.indexOf(':');
			this.socket.connect(new InetSocketAddress(InetAddress.getByName(address.substring(0, colon)),
					Integer.parseInt(address.substring(colon + 1))), 1_000);
			this.socket.setTcpNoDelay(true);
			this.socket.setSoTimeout(DEADLINE_MILLIS + 2_000);
			this.in = new BufferedInputStream(this.socket.getInputStream());
			this.out = this.socket.getOutputStream();
		}

		private void close() {
			try {
				this.socket.close();
			}
			catch (IOException ex) {
				// Closed either way.
			}
		}

	}

	private static final class Attempt {

		private String id;

		private String address;

		private long headSentAt;

		private long lastByteAt;

		private long endedAt;

		private long stopAt;

		private boolean sentWhole;

		private int status;

		private String failure = "";

	}

}
