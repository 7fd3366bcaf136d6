import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A small deployment: a store, runners and daemons on loopback addresses of their own. */
final class Fleet implements AutoCloseable {

	static final String HOST = "ficu95.example";

	static final String KEY = "n2ctnfzs989anu6wsjnb";

	static final String ZONE = "quan1";

	private static final long START_LIMIT_MILLIS = 30_000;

	/** Ports after the first one that a daemon uses, and the port of its metrics. */
	private static final int DAEMON_PORTS = 20;

	final List<Daemon> daemons = new ArrayList<>();

	final Store store;

	private final Path directory = Files.createTempDirectory("fleet");

	private final String network;

	private final Record record;

	Fleet(Record record) throws IOException {
		this.record = record;
		long pid = ProcessHandle.current().pid();
		this.network = "127." + (1 + pid % 250) + "." + (1 + pid / 250 % 250) + ".";
		this.store = new Store(this.network + "200");
		Runtime.getRuntime().addShutdownHook(new Thread(this::close));
	}

	/** Starts a thread that doesn't keep the program alive. */
	static void background(Task task) {
		Thread thread = new Thread(() -> {
			try {
				task.run();
			}
			catch (Exception ex) {
				// The other side has closed the connection.
			}
		});
		thread.setDaemon(true);
		thread.start();
	}

	void addRunners(int count, String service, int firstIp, int slots, int workMillis) throws IOException {
		for (int i = 0; i < count; i++) {
			Runner runner = new Runner("i-" + service + i, service, this.network + (firstIp + i), workMillis,
					this.record);
			this.store.put("servers", runner.id(), runner.entry(ZONE, slots));
		}
	}

	void startDaemons(int count) throws Exception {
		int port = freePort();
		for (int i = 0; i < count; i++) {
			Daemon daemon = new Daemon("edge-quan1-" + (i + 1), this.network + (10 + i), port, ZONE,
					this.network + "10", this.store.address(), this.directory);
			this.daemons.add(daemon);
			daemon.start();
		}
		for (Daemon daemon : this.daemons) {
			daemon.awaitReady(START_LIMIT_MILLIS);
		}
	}

	private int freePort() throws IOException {
		for (int port = 20_000 + (int) (System.nanoTime() / 1_000 % 10_000);; port += DAEMON_PORTS) {
			if (isFree(port)) {
				return port;
			}
		}
	}

	private boolean isFree(int first) {
		for (int port = first; port < first + DAEMON_PORTS; port++) {
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(this.network + "10"))) {
				socket.setReuseAddress(true);
			}
			catch (IOException ex) {
				return false;
			}
		}
		return true;
	}

	@Override
	public void close() {
		this.daemons.forEach(Daemon::kill);
		try (Stream<Path> files = Files.walk(this.directory)) {
			files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
		catch (IOException ex) {
			// It was removed by the first call.
		}
	}

	/** What a thread does until its connection ends. */
	interface Task {

		void run() throws Exception;

	}

}
