import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** One daemon of the project, started as a process by the command of the deploy file. */
final class Daemon {

	private final String name;

	private final String ip;

	private final int port;

	private final Path directory;

	private final String settings;

	private Process process;

	Daemon(String name, String ip, int port, String zone, String seed, String store, Path directory) {
		this.name = name;
		this.ip = ip;
		this.port = port;
		this.directory = directory;
		this.settings = "{\"node_name\":\"" + name + "\",\"role\":\"daemon\",\"machine_class\":\"edge\",\"serves\":["
				+ "\"edge\",\"registry\",\"control_plane\"],\"ip\":\"" + ip + "\",\"zone\":\"" + zone
				+ "\",\"region\":\"hcm\",\"zones\":{\"" + zone + "\":\"hcm\"},\"listen\":{\"frontend\":\"" + ip + ":"
				+ port + "\",\"ready\":\"" + ip + ":" + (port + 1) + "\",\"control_plane\":\"" + ip + ":" + (port + 2)
				+ "\",\"directory\":\"" + ip + ":" + (port + 3) + "\"},\"internal_ports\":[" + (port + 4) + ","
				+ (port + 19) + "],\"seeds\":[\"" + seed + ":" + (port + 2)
				+ "\"],\"bootstrap\":true,\"fault_counted\":false,\"limits\":{\"cpu_share\":0.75,\"cores\":1,"
				+ "\"memory_mb\":430,\"file_descriptors\":4100,\"link_mbps\":1000.0,\"disk_mb\":0},"
				+ "\"data_directory\":null,\"discovery\":\"platform\",\"entry\":\"registry\",\"heartbeat_ms\":1200,"
				+ "\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\","
				+ "\"tenants\",\"platform\",\"spans\"],\"fault_tolerance\":{\"machines\":2,\"zones\":0,\"regions\":0},"
				+ "\"bounds\":{\"seed_lag_s\":3,\"reuse_after_s\":2,\"contact_ms\":3000,\"ack_ms\":4000,"
				+ "\"catch_up_s\":4,\"drain_ms\":2000,\"grace_s\":8,\"loss_slack_ms\":200,\"config_apply_ms\":2000,"
				+ "\"rollback_slack_ms\":250,\"partition_max_ms\":5000,\"revoke_strict\":false,\"revoke_ms\":5000,"
				+ "\"retry_budget_ratio\":0.2,\"retry_window_s\":10,\"retry_slack\":106,\"recovery_s\":12,"
				+ "\"pass_ms\":120,\"retry_after_s\":0,\"stall_ms\":1500,\"hold_max_ms\":20000,\"release_ms\":4000,"
				+ "\"idle_max_ms\":9000,\"ttl_max_s\":5},\"platform\":{\"address\":\"" + store
				+ "\",\"form\":\"objects\",\"writes_per_s\":400,\"reads_per_s\":2000,\"history_s\":20,"
				+ "\"value_bytes\":1048576,\"ttl_min_ms\":1000}}";
	}

	void start() throws IOException {
		Path file = this.directory.resolve(this.name + ".json");
		Files.writeString(file, this.settings);
		String line = Files.readAllLines(Path.of("deploy/system.toml"))
			.stream()
			.filter((each) -> each.startsWith("run = "))
			.findFirst()
			.orElseThrow();
		String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
		ProcessBuilder builder = new ProcessBuilder(command.split(" "));
		builder.environment().put("BRAMLEYSCALE_SETTINGS", file.toString());
		builder.redirectErrorStream(true).redirectOutput(log().toFile());
		this.process = builder.start();
	}

	Path log() {
		return this.directory.resolve(this.name + ".log");
	}

	InetSocketAddress callers() {
		return new InetSocketAddress(this.ip, this.port);
	}

	/** Asks for readiness; returns 0 if there is no answer within a second. */
	int readiness() {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(this.ip, this.port + 1), 1_000);
			socket.setSoTimeout(1_000);
			socket.getOutputStream()
				.write("GET /bramleyscale/readiness HTTP/1.1\r\nHost: platform\r\n\r\n"
					.getBytes(StandardCharsets.ISO_8859_1));
			return Message.readHead(new BufferedInputStream(socket.getInputStream())).status();
		}
		catch (IOException | NullPointerException ex) {
			return 0;
		}
	}

	boolean alive() {
		return this.process.isAlive();
	}

	void awaitReady(long limitMillis) throws InterruptedException {
		long end = System.nanoTime() + limitMillis * 1_000_000;
		while (readiness() != 200) {
			if (System.nanoTime() > end || !alive()) {
				throw new IllegalStateException(this.name + " isn't ready after " + limitMillis + " ms");
			}
			TimeUnit.MILLISECONDS.sleep(20);
		}
	}

	void kill() {
		if (this.process != null) {
			this.process.destroyForcibly();
		}
	}

}
