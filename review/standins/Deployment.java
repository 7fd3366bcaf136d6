package standins;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/**
 * A small deployment: the store, runners and daemons. Daemons and runners are processes of
 * their own, all on loopback addresses.
 */
final class Deployment implements AutoCloseable {

	static final String HOST = "hire.example";

	static final String KEY = "k1";

	final Store store = new Store();

	final List<Daemon> daemons = new ArrayList<>();

	final Map<String, Process> runners = new LinkedHashMap<>();

	final Map<String, Integer> runnerPorts = new LinkedHashMap<>();

	final Map<String, Object[]> runnerKinds = new LinkedHashMap<>();

	final long startedAt = System.nanoTime();

	private final Path folder;

	private final PrintWriter record;

	private final List<String> command;

	private final BiConsumer<String, String> onRunnerLine;

	private final int frontPort;

	private final String net;

	/** Settings of daemons that differ from those of sites/tsh-quarryhire.toml. */
	private final Map<String, Object> otherSettings;

	Deployment(Path record, int daemonCount, BiConsumer<String, String> onRunnerLine) throws IOException {
		this(record, daemonCount, onRunnerLine, Map.of());
	}

	Deployment(Path record, int daemonCount, BiConsumer<String, String> onRunnerLine,
			Map<String, Object> otherSettings) throws IOException {
		this.otherSettings = otherSettings;
		this.folder = Files.createTempDirectory("review");
		this.record = new PrintWriter(Files.newBufferedWriter(record), true);
		this.onRunnerLine = onRunnerLine;
		this.command = deployedCommand();
		Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
		this.net = "127." + ThreadLocalRandom.current().nextInt(10, 250) + "."
				+ ThreadLocalRandom.current().nextInt(1, 250) + ".";
		this.frontPort = freePort();
		for (int i = 0; i < daemonCount; i++) {
			this.daemons.add(new Daemon("edge-" + (i + 1), this.net + (10 + i)));
		}
	}

	/** The command of the deploy file. */
	private static List<String> deployedCommand() throws IOException {
		for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
			if (line.startsWith("run = ")) {
				return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
			}
		}
		throw new IOException("no run command in deploy/system.toml");
	}

	private static int freePort() throws IOException {
		for (int tries = 0; tries < 100; tries++) {
			int port = ThreadLocalRandom.current().nextInt(20_000, 30_000);
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
				return socket.getLocalPort();
			}
			catch (IOException ex) {
				// In use.
			}
		}
		throw new IOException("no free port");
	}

	long millis() {
		return (System.nanoTime() - this.startedAt) / 1_000_000;
	}

	void note(String line) {
		synchronized (this.record) {
			this.record.println(millis() + " " + line);
		}
	}

	void startRunner(String service, String id, int slots, boolean streams, int events, int millis) throws IOException {
		startRunner("standins.Runner", service, id, slots, "" + streams, "" + events, "" + millis);
	}

	void startRunner(String program, String service, String id, int slots, String... more) throws IOException {
		this.runnerKinds.put(id, new Object[] { service, slots });
		int port = freePort();
		this.runnerPorts.put(id, port);
		List<String> words = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
				"-Xmx48m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"),
				program, id, "" + port, "" + slots));
		words.addAll(List.of(more));
		Process process = new ProcessBuilder(words).redirectError(ProcessBuilder.Redirect.DISCARD).start();
		this.runners.put(id, process);
		BufferedReader lines = new BufferedReader(new InputStreamReader(process.getInputStream()));
		if (!"up".equals(lines.readLine())) {
			throw new IOException("runner " + id + " doesn't start");
		}
		Thread reader = new Thread(() -> {
			try {
				for (String line = lines.readLine(); line != null; line = lines.readLine()) {
					note("runner " + id + " " + line);
					this.onRunnerLine.accept(id, line);
				}
			}
			catch (IOException ex) {
				// It has ended.
			}
		});
		reader.setDaemon(true);
		reader.start();
		register(id, "ready", 0);
	}

	void register(String id, String state, long sequence) {
		Object[] kind = this.runnerKinds.get(id);
		this.store.put("servers", id,
				Json.object("service", kind[0], "address", "127.0.0.1:" + this.runnerPorts.get(id), "zone",
						this.otherSettings.getOrDefault("zone", "shah-alam"),
						"version", "v1", "slots", kind[1], "state", state, "cold_remaining_ms", 0, "stage", "combined",
						"models", List.of(Json.object("name", "m", "version", 1, "adapters", List.of())), "sequence",
						sequence));
	}

	void tellRunner(String id, String line) throws IOException {
		note("tell runner " + id + " " + line);
		this.runners.get(id).getOutputStream().write((line + "\n").getBytes());
		this.runners.get(id).getOutputStream().flush();
	}

	/** Ends a runner with SIGKILL; its entry lapses after three heartbeats, 3.6 s. */
	void crashRunner(String id) {
		note("kill runner " + id);
		this.runners.get(id).destroyForcibly();
		Thread lapse = new Thread(() -> {
			try {
				Thread.sleep(3_600);
			}
			catch (InterruptedException ex) {
				return;
			}
			this.store.delete("servers", id);
		});
		lapse.setDaemon(true);
		lapse.start();
	}

	static Map<String, Object> route(String name, String prefix, String kind, String service, int timeoutMillis,
			int targetMillis, int attempts, int gapMillis) {
		Map<String, Object> route = Json.object("name", name, "host", HOST, "path_prefix", prefix, "route_kind", kind,
				"timeout_ms", timeoutMillis, "target_latency_ms", targetMillis, "priority", 1, "service", service,
				"max_attempts", attempts, "public", false);
		if (gapMillis > 0) {
			route.put("sticky", true);
			route.put("resumable", true);
			route.put("gap_target_ms", gapMillis);
		}
		return route;
	}

	static Map<String, Object> plainService(String name) {
		return Json.object("name", name, "health_path", "/health", "connection_limit", 364, "protocol", "h1", "tls",
				false);
	}

	static Map<String, Object> engineService(String name) {
		Map<String, Object> service = plainService(name);
		service.put("engine",
				Json.object("slots", 11, "kv_capacity_tokens", 405_000, "kv_token_bytes", 163_840, "link_mbps", 400000.0,
						"stride", 34, "models", List.of(Json.object("name", "m")), "step_ms", 1.31, "per_seq_ms",
						0.0013338181818181819, "context_per_k", 0.00213, "read_per_s", 154000.0, "pairs_per_m", 0.162,
						"chunk", 2048, "report_lag_ms", 200.0, "loads_per_s", 0.0, "loads_at_once", 8, "delays",
						List.of(), "usual", Json.object("prompt", 11317, "answer", 1266), "hop_ms", 0.1));
		return service;
	}

	void configure(long version, List<Object> routes, List<Object> services) {
		configure(version, routes, services, Json.object("name", "hule930", "api_keys", List.of(KEY), "priority", 1));
	}

	void configure(long version, List<Object> routes, List<Object> services, Map<String, Object> tenant) {
		this.store.put("config", "main",
				Json.object("version", version, "routes", routes, "services", services, "limits",
						Json.object("max_header_bytes", 16384, "max_body_bytes", 4194304, "header_timeout_ms", 3000,
								"idle_timeout_ms", 15000),
						"tenants", List.of(tenant)));
	}

	void startDaemons() throws Exception {
		for (Daemon daemon : this.daemons) {
			daemon.start();
		}
		for (Daemon daemon : this.daemons) {
			daemon.awaitReady();
		}
	}

	private void endAll() {
		this.daemons.forEach((daemon) -> daemon.end());
		this.runners.values().forEach(Process::destroyForcibly);
	}

	@Override
	public void close() throws Exception {
		endAll();
		try (var files = Files.walk(this.folder)) {
			files.sorted(java.util.Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
		}
		this.record.close();
	}

	/** A daemon of the product. */
	final class Daemon {

		final String name;

		final String ip;

		Process process;

		private Daemon(String name, String ip) {
			this.name = name;
			this.ip = ip;
		}

		String front() {
			return this.ip + ":" + Deployment.this.frontPort;
		}

		void start() throws IOException {
			int port = Deployment.this.frontPort;
			String first = Deployment.this.net + "10";
			Map<String, Object> settings = Json.object("node_name", this.name, "role", "daemon", "machine_class", "edge",
					"serves", List.of("edge", "registry", "control_plane"), "ip", this.ip, "zone", "shah-alam", "region",
					"klang-valley", "zones", Json.object("shah-alam", "klang-valley"), "listen",
					Json.object("frontend", front(), "ready", this.ip + ":" + (port + 1), "control_plane",
							this.ip + ":" + (port + 3), "directory", this.ip + ":" + (port + 2)),
					"internal_ports", List.of(port + 4, port + 12), "seeds", List.of(first + ":" + (port + 3)),
					"bootstrap", true, "fault_counted", false, "limits",
					Json.object("cpu_share", 0.75, "cores", 1, "memory_mb", 430, "file_descriptors", 4200, "link_mbps",
							1000.0, "disk_mb", 0),
					"data_directory", null, "discovery", "platform", "entry", "registry", "heartbeat_ms", 1200,
					"contracts",
					List.of("base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
							"platform", "spans"),
					"fault_tolerance", Json.object("machines", 2, "zones", 0, "regions", 0), "bounds",
					Json.object("seed_lag_s", 3, "reuse_after_s", 2, "contact_ms", 3000, "ack_ms", 4000, "catch_up_s", 4,
							"drain_ms", 2000, "grace_s", 8, "loss_slack_ms", 200, "config_apply_ms", 2000,
							"rollback_slack_ms", 250, "partition_max_ms", 5000, "revoke_strict", false, "revoke_ms", 5000,
							"retry_budget_ratio", 0.2, "retry_window_s", 10, "retry_slack", 102, "recovery_s", 12,
							"pass_ms", 120, "retry_after_s", 0, "stall_ms", 1500, "hold_max_ms", 20000, "release_ms",
							4000, "idle_max_ms", 9000, "ttl_max_s", 5),
					"platform", Json.object("address", Deployment.this.store.address(), "form", "objects", "writes_per_s",
							400, "reads_per_s", 2000, "history_s", 20, "value_bytes", 1048576, "ttl_min_ms", 1000));
			settings.putAll(Deployment.this.otherSettings);
			Path file = Files.createTempFile(Deployment.this.folder, this.name, ".json");
			Files.writeString(file, Json.write(settings));
			List<String> words = new ArrayList<>(Deployment.this.command);
			words.set(0, Path.of(System.getProperty("java.home"), "bin", words.get(0)).toString());
			ProcessBuilder builder = new ProcessBuilder(words);
			builder.environment().put("BRAMLEYSCALE_SETTINGS", file.toString());
			builder.redirectErrorStream(true);
			String log = System.getenv("DAEMON_LOGS");
			builder.redirectOutput((log != null)
					? ProcessBuilder.Redirect.appendTo(new File(log, this.name + ".log")) : ProcessBuilder.Redirect.DISCARD);
			this.process = builder.start();
			note("start daemon " + this.name + " pid " + this.process.pid());
		}

		void awaitReady() throws Exception {
			long end = System.nanoTime() + 20_000_000_000L;
			while (System.nanoTime() < end) {
				if (get("http://" + this.ip + ":" + (Deployment.this.frontPort + 1) + "/bramleyscale/readiness") != null) {
					note("ready daemon " + this.name);
					return;
				}
				Thread.sleep(50);
			}
			throw new IOException("daemon " + this.name + " isn't ready");
		}

		/** The addresses that it names to clients, or null without an answer. */
		List<String> resolve() {
			String answer = get("http://" + this.ip + ":" + (Deployment.this.frontPort + 2)
					+ "/bramleyscale/resolve?name=" + HOST + "&region="
					+ Deployment.this.otherSettings.getOrDefault("region", "klang-valley") + "&zone="
					+ Deployment.this.otherSettings.getOrDefault("zone", "shah-alam"));
			if (answer == null) {
				return null;
			}
			List<String> addresses = new ArrayList<>();
			((List<?>) Json.map(Json.read(answer)).get("addresses")).forEach((each) -> addresses.add((String) each));
			return addresses;
		}

		void terminate() {
			note("SIGTERM daemon " + this.name);
			this.process.destroy();
		}

		private void end() {
			if (this.process != null) {
				this.process.destroyForcibly();
			}
		}

		boolean awaitEnd(long millis) throws InterruptedException {
			boolean ended = this.process.waitFor(millis, TimeUnit.MILLISECONDS);
			note("daemon " + this.name + (ended ? " ended with " + this.process.exitValue() : " runs on"));
			return ended;
		}

	}

	private static String get(String url) {
		try {
			HttpURLConnection call = (HttpURLConnection) URI.create(url).toURL().openConnection();
			call.setConnectTimeout(1_000);
			call.setReadTimeout(1_000);
			if (call.getResponseCode() != 200) {
				return null;
			}
			return new String(call.getInputStream().readAllBytes());
		}
		catch (IOException ex) {
			return null;
		}
	}

}
