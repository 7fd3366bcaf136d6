package standins;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runners crash under streams while other runners fail a part of their requests. A stream
 * must have ended, whole or broken off, at its route's timeout.
 */
public final class StreamCase {

	private static final int RUNNERS = 21;

	private static final int CLIENTS = 190;

	private static final int ROUNDS = 20;

	private static final int ROUND_MILLIS = 3_500;

	/** How long crashed runners are down. */
	private static final int DOWN_MILLIS = 2_800;

	/** No round begins later, so that the case ends within 120 s. */
	private static final int LAST_ROUND_MILLIS = 96_000;

	/** 0.143 of the runners. */
	private static final int HIT = 3;

	private static final int EVENTS = 20;

	private static final int EVENT_MILLIS = 100;

	/** A client leaves after a gap of four times the objective. */
	private static final int TARGET_MILLIS = 3_000;

	private static final int GAP_MILLIS = 4 * TARGET_MILLIS;

	private static final int TIMEOUT_MILLIS = 10_000;

	private static final int DEADLINE_MILLIS = 15_000;

	private static final int SLACK_MILLIS = 500;

	private static final int LEAST = 8;

	private final boolean trouble;

	private final Deployment deployment;

	private final Map<String, List<String>> runs = new ConcurrentHashMap<>();

	private final List<Request> requests = new ArrayList<>();

	private final AtomicInteger ids = new AtomicInteger();

	private volatile boolean running = true;

	private int incarnations;

	private StreamCase(Path record, boolean trouble) throws IOException {
		this.trouble = trouble;
		this.deployment = new Deployment(record, 3, this::runnerLine);
	}

	public static void main(String[] arguments) throws Exception {
		int status;
		try {
			status = new StreamCase(Path.of(arguments[0]), !"0".equals(System.getenv("TROUBLE"))).run();
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
			this.runs.computeIfAbsent(words[1], (id) -> Collections.synchronizedList(new ArrayList<>()))
				.add(runner + (line.endsWith("fails") ? " (500)" : ""));
		}
	}

	private String startRunner() throws IOException {
		String id = "i-hire-" + (++this.incarnations);
		this.deployment.startRunner("hire-assistant", id, 11, true, EVENTS, EVENT_MILLIS);
		return id;
	}

	private int run() throws Exception {
		try (this.deployment) {
			this.deployment.configure(7,
					List.of(Deployment.route("r-study", "/study/", "streaming", "hire-assistant", TIMEOUT_MILLIS,
							TARGET_MILLIS, 2, 1_000)),
					List.of(Deployment.engineService("hire-assistant")));
			List<String> runners = new ArrayList<>();
			for (int i = 0; i < RUNNERS; i++) {
				runners.add(startRunner());
			}
			this.deployment.startDaemons();
			Thread.sleep(2_000);
			for (int i = 0; i < CLIENTS; i++) {
				Thread thread = new Thread(this::client);
				thread.setDaemon(true);
				thread.start();
			}
			Thread.sleep(4_000);
			long first = this.deployment.millis();
			for (int round = 0; round < ROUNDS && this.deployment.millis() < LAST_ROUND_MILLIS; round++) {
				sleepUntil(first + round * (long) ROUND_MILLIS);
				if (this.trouble) {
					round(runners);
				}
			}
			sleepUntil(Math.min(first + ROUNDS * (long) ROUND_MILLIS, LAST_ROUND_MILLIS + ROUND_MILLIS));
			this.running = false;
			Thread.sleep(DEADLINE_MILLIS - 1_000);
			return judge();
		}
	}

	/** Three runners of 21 fail 0.4 of their requests, three others crash and are replaced. */
	private void round(List<String> runners) throws Exception {
		Collections.shuffle(runners);
		List<String> grey = List.copyOf(runners.subList(0, HIT));
		List<String> crashed = List.copyOf(runners.subList(HIT, 2 * HIT));
		for (String id : grey) {
			this.deployment.tellRunner(id, "errors 0.4");
		}
		Thread.sleep(100);
		crashed.forEach(this.deployment::crashRunner);
		Thread.sleep(DOWN_MILLIS);
		runners.removeAll(crashed);
		for (String id : crashed) {
			runners.add(startRunner());
		}
		for (String id : grey) {
			this.deployment.tellRunner(id, "errors 0");
		}
	}

	private void sleepUntil(long millis) throws InterruptedException {
		Thread.sleep(Math.max(0, millis - this.deployment.millis()));
	}

	private int judge() {
		int whole = 0;
		int broken = 0;
		int refused = 0;
		int atTimeout = 0;
		int unended = 0;
		List<Request> all;
		synchronized (this.requests) {
			all = List.copyOf(this.requests);
		}
		for (Request request : all) {
			long endedAt = (request.endedAt > 0) ? request.endedAt : Long.MAX_VALUE;
			long lasted = endedAt - request.sentAt;
			whole += request.how.equals("whole") ? 1 : 0;
			refused += request.how.startsWith("status") ? 1 : 0;
			broken += request.how.startsWith("broken") ? 1 : 0;
			boolean left = request.how.startsWith("left");
			if (left && lasted < TIMEOUT_MILLIS) {
				continue;
			}
			if (lasted > TIMEOUT_MILLIS) {
				atTimeout++;
				if (lasted > TIMEOUT_MILLIS + SLACK_MILLIS) {
					unended++;
					this.deployment.note("NO END " + request.id + " at " + request.address + " sent " + request.sentAt
							+ ", last event " + request.lastEvent + " at " + request.lastEventAt + ", client "
							+ request.how + " at " + request.endedAt + ", runs " + this.runs.get(request.id));
				}
			}
		}
		String summary = "sent " + all.size() + " whole " + whole + " refused or failed " + refused + " broken off "
				+ broken + " still open at the timeout " + atTimeout + " and half a second later " + unended;
		this.deployment.note(summary);
		System.out.println(summary);
		if (whole == 0) {
			return 2;
		}
		return (unended >= LEAST && 4 * unended > atTimeout) ? 1 : 0;
	}

	private void client() {
		while (this.running) {
			List<String> addresses = null;
			List<Deployment.Daemon> daemons = new ArrayList<>(this.deployment.daemons);
			Collections.shuffle(daemons);
			for (int i = 0; addresses == null && i < daemons.size(); i++) {
				addresses = daemons.get(i).resolve();
			}
			if (addresses == null || addresses.isEmpty()) {
				sleep(200);
				continue;
			}
			Request request = new Request();
			request.id = String.format("s%07d", this.ids.incrementAndGet());
			request.address = addresses.get(ThreadLocalRandom.current().nextInt(addresses.size()));
			synchronized (this.requests) {
				this.requests.add(request);
			}
			request.sentAt = this.deployment.millis();
			try (Socket socket = new Socket()) {
				exchange(request, socket);
			}
			catch (SocketTimeoutException ex) {
				request.how = "left";
			}
			catch (IOException ex) {
				request.how = "broken off: " + ex;
			}
			request.endedAt = this.deployment.millis();
			this.deployment.note("client " + request.id + " at " + request.address + " sent " + request.sentAt + " "
					+ request.how + " last event " + request.lastEvent);
			sleep(ThreadLocalRandom.current().nextInt(100));
		}
	}

	private void exchange(Request request, Socket socket) throws IOException {
		int colon = request.address.indexOf(':');
		socket.connect(new InetSocketAddress(InetAddress.getByName(request.address.substring(0, colon)),
				Integer.parseInt(request.address.substring(colon + 1))), 1_000);
		socket.setTcpNoDelay(true);
		InputStream in = new BufferedInputStream(socket.getInputStream());
		byte[] body = new byte[1_200];
		socket.getOutputStream()
			.write(Http.bytes("POST /study/1 HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nX-Bramleyscale-Attempt-Id: "
					+ request.id + "\r\nX-Bramleyscale-Model: m\r\nX-Bramleyscale-Token-Usage: 4960,680\r\n"
					+ "X-Bramleyscale-Prompt-Prefix: 5c1e07a2:40," + Integer.toHexString(request.hashCode())
					+ ":4920\r\nX-Bramleyscale-Deadline-Ms: " + DEADLINE_MILLIS + "\r\nAuthorization: Bearer "
					+ Deployment.KEY + "\r\nContent-Length: " + body.length + "\r\n\r\n"));
		socket.getOutputStream().write(body);
		wait(request, socket);
		Http head = Http.head(in);
		if (head == null) {
			throw new IOException("channel closed");
		}
		if (!head.chunked()) {
			head.body(in);
			request.how = "status " + head.status();
			return;
		}
		StringBuilder pending = new StringBuilder();
		while (true) {
			wait(request, socket);
			byte[] chunk = Http.chunk(in);
			if (chunk == null) {
				request.how = (request.lastEvent == EVENTS) ? "whole" : "ended early";
				return;
			}
			pending.append(new String(chunk));
			for (int end = pending.indexOf("\n\n"); end >= 0; end = pending.indexOf("\n\n")) {
				String event = pending.substring(0, end);
				pending.delete(0, end + 2);
				request.lastEvent = Integer.parseInt(event.substring(4, event.indexOf('\n')));
				request.lastEventAt = this.deployment.millis();
			}
		}
	}

	/** The client leaves after the gap, and at its time limit. */
	private void wait(Request request, Socket socket) throws IOException {
		long left = request.sentAt + DEADLINE_MILLIS - this.deployment.millis();
		if (left <= 0) {
			throw new SocketTimeoutException();
		}
		socket.setSoTimeout((int) Math.min(left, GAP_MILLIS));
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static final class Request {

		private String id;

		private String address;

		private volatile long sentAt;

		private volatile long endedAt;

		private volatile long lastEventAt;

		private volatile int lastEvent;

		private volatile String how = "open";

	}

}
