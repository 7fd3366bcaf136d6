package standins;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runners leave a little more than contact_ms after an outage of the store, without having
 * reported that they drain. They may not get requests later than drain_ms after that.
 */
public final class LeaveCase {

	private static final int RUNNERS = 21;

	/** 0.143 of the runners. */
	private static final int LEAVING = 3;

	private static final int ROUNDS = 5;

	private static final int OUTAGE_MILLIS = 4_500;

	private static final int CONTACT_MILLIS = 3_000;

	/** From the end of the contact_ms after the outage until the runners leave. */
	private static final int AFTER_MILLIS = 50;

	private static final int DRAIN_MILLIS = 2_000;

	private static final int CLIENTS = 40;

	private final boolean trouble;

	private final Deployment deployment;

	private final Map<String, Long> gone = new ConcurrentHashMap<>();

	private final Map<String, Long> late = new ConcurrentHashMap<>();

	private final AtomicInteger ids = new AtomicInteger();

	private final AtomicInteger answered = new AtomicInteger();

	private final AtomicInteger other = new AtomicInteger();

	private volatile boolean running = true;

	private int incarnations;

	private LeaveCase(Path record, boolean trouble) throws IOException {
		this.trouble = trouble;
		this.deployment = new Deployment(record, 3, this::runnerLine);
	}

	public static void main(String[] arguments) throws Exception {
		int status;
		try {
			status = new LeaveCase(Path.of(arguments[0]), !"0".equals(System.getenv("TROUBLE"))).run();
		}
		catch (Exception ex) {
			ex.printStackTrace();
			status = 2;
		}
		System.exit(status);
	}

	/** A runner notes the time of day at which it has read a request. */
	private void runnerLine(String runner, String line) {
		String[] words = line.split(" ");
		Long leftAt = this.gone.get(runner);
		if (words[0].equals("run") && leftAt != null) {
			long after = Long.parseLong(words[3]) - leftAt;
			if (after > DRAIN_MILLIS) {
				this.late.put(words[1], after);
				this.deployment.note("LATE " + words[1] + " reaches runner " + runner + " " + after
						+ " ms after the store acknowledged that it is gone");
			}
		}
	}

	private String startRunner() throws IOException {
		String id = "i-yard-" + (++this.incarnations);
		this.deployment.startRunner("yard-app", id, 6, false, 0, 43);
		return id;
	}

	private int run() throws Exception {
		try (this.deployment) {
			this.deployment.configure(7,
					List.of(Deployment.route("r-log", "/log/", "idempotent", "yard-app", 1_000, 193, 2, 0)),
					List.of(Deployment.plainService("yard-app")));
			List<String> runners = new ArrayList<>();
			for (int i = 0; i < RUNNERS; i++) {
				runners.add(startRunner());
			}
			this.deployment.startDaemons();
			Thread.sleep(3_000);
			for (int i = 0; i < CLIENTS; i++) {
				Thread thread = new Thread(this::client);
				thread.setDaemon(true);
				thread.start();
			}
			Thread.sleep(3_000);
			for (int round = 0; round < ROUNDS; round++) {
				round(runners);
			}
			this.running = false;
			Thread.sleep(1_500);
			String summary = "answered " + this.answered + " not answered or failed " + this.other
					+ " reached a runner that was gone, later than drain_ms " + this.late.size() + ", the latest after "
					+ this.late.values().stream().mapToLong(Long::longValue).max().orElse(0) + " ms";
			this.deployment.note(summary);
			System.out.println(summary);
			return (this.answered.get() == 0) ? 2 : this.late.isEmpty() ? 0 : 1;
		}
	}

	private void round(List<String> runners) throws Exception {
		if (this.trouble) {
			this.deployment.note("the store is silent");
			this.deployment.store.silent(true);
		}
		Thread.sleep(OUTAGE_MILLIS);
		this.deployment.store.silent(false);
		this.deployment.note("the store answers");
		Thread.sleep(CONTACT_MILLIS + AFTER_MILLIS);
		Collections.shuffle(runners);
		List<String> leaving = List.copyOf(runners.subList(0, LEAVING));
		for (String id : leaving) {
			this.deployment.store.delete("servers", id);
			this.gone.put(id, System.currentTimeMillis());
			this.deployment.note("runner " + id + " is gone, acknowledged by the store");
		}
		runners.removeAll(leaving);
		for (int i = 0; i < LEAVING; i++) {
			runners.add(startRunner());
		}
		// They serve on for drain_ms and longer, and then exit.
		Thread.sleep(5_000);
		leaving.forEach((id) -> this.deployment.runners.get(id).destroy());
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
			String address = addresses.get(ThreadLocalRandom.current().nextInt(addresses.size()));
			try (Socket socket = new Socket()) {
				int colon = address.indexOf(':');
				socket.connect(new InetSocketAddress(InetAddress.getByName(address.substring(0, colon)),
						Integer.parseInt(address.substring(colon + 1))), 1_000);
				socket.setTcpNoDelay(true);
				socket.setSoTimeout(1_000);
				InputStream in = new BufferedInputStream(socket.getInputStream());
				long end = System.nanoTime() + 1_000_000_000L;
				while (this.running && System.nanoTime() < end) {
					String id = String.format("g%07d", this.ids.incrementAndGet());
					socket.getOutputStream()
						.write(Http.bytes("GET /log/1 HTTP/1.1\r\nHost: " + Deployment.HOST
								+ "\r\nX-Bramleyscale-Attempt-Id: " + id
								+ "\r\nX-Bramleyscale-Deadline-Ms: 1000\r\nAuthorization: Bearer " + Deployment.KEY
								+ "\r\n\r\n"));
					Http head = Http.head(in);
					if (head == null) {
						throw new IOException("channel closed");
					}
					head.body(in);
					(head.status() == 200 ? this.answered : this.other).incrementAndGet();
					this.deployment.note("client " + id + " at " + address + " status " + head.status());
					sleep(ThreadLocalRandom.current().nextInt(100));
				}
			}
			catch (IOException ex) {
				this.other.incrementAndGet();
			}
		}
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
