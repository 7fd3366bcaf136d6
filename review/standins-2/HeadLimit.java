import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * All daemons are killed and started again. Callers connect as soon as one listens, keep
 * their channels, and later send requests whose heads are within the limits of the
 * configuration. Without the trouble, the callers connect to daemons that run.
 */
final class HeadLimit {

	private static final String LIMITS = Config.LIMITS.replace("16384", "32768");

	private static final int CALLERS_PER_DAEMON = 10;

	/** Parts of a prompt; each takes 12 B of the head. */
	private static final int PARTS = 1_700;

	private static final int RESTART_DELAY_MILLIS = 500;

	private static final int CONNECT_LIMIT_MILLIS = 10_000;

	/** After the start a machine is in touch after contact_ms, 3,000. */
	private static final int SETTLE_MILLIS = 3_000 + 2_000;

	private static final int LIMIT_MILLIS = 10_000;

	private final Record record;

	private final Fleet fleet;

	private final List<Caller> callers = new ArrayList<>();

	private HeadLimit(Record record, Fleet fleet) {
		this.record = record;
		this.fleet = fleet;
	}

	public static void main(String[] arguments) {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int status = 2;
		try (Record record = new Record(Path.of(arguments[0])); Fleet fleet = new Fleet(record)) {
			fleet.store.put("config", "main", Config.json(4, LIMITS, Config.TENANTS));
			fleet.addRunners(3, "app", 100, 6, 20);
			fleet.addRunners(6, "llm", 120, 11, 20);
			fleet.startDaemons(3);
			status = new HeadLimit(record, fleet).run(trouble) ? 1 : 0;
		}
		catch (Exception ex) {
			System.out.println("couldn't run: " + ex);
		}
		System.exit(status);
	}

	private boolean run(boolean trouble) throws Exception {
		if (trouble) {
			this.fleet.daemons.forEach(Daemon::kill);
			this.record.report("all daemons killed");
			Thread.sleep(RESTART_DELAY_MILLIS);
			for (Daemon daemon : this.fleet.daemons) {
				daemon.start();
			}
			this.record.report("all daemons started again");
		}
		List<Thread> threads = new ArrayList<>();
		for (Daemon daemon : this.fleet.daemons) {
			for (int i = 0; i < CALLERS_PER_DAEMON; i++) {
				Thread thread = new Thread(() -> connect(daemon));
				thread.start();
				threads.add(thread);
			}
		}
		for (Thread thread : threads) {
			thread.join();
		}
		for (Daemon daemon : this.fleet.daemons) {
			daemon.awaitReady(CONNECT_LIMIT_MILLIS);
		}
		Thread.sleep(SETTLE_MILLIS);
		return judge();
	}

	private void connect(Daemon daemon) {
		long end = this.record.millis() + CONNECT_LIMIT_MILLIS;
		while (this.record.millis() < end) {
			try {
				Caller caller = new Caller(daemon);
				this.record.add("channel opened to " + daemon.callers());
				synchronized (this.callers) {
					this.callers.add(caller);
				}
				return;
			}
			catch (IOException ex) {
				// It doesn't listen yet.
				Thread.onSpinWait();
			}
		}
	}

	private boolean judge() {
		StringBuilder parts = new StringBuilder();
		for (int part = 0; part < PARTS; part++) {
			parts.append(String.format("%08x:40,", part));
		}
		String headers = "X-Bramleyscale-Model: m\r\nX-Bramleyscale-Token-Usage: 68400,20\r\n"
				+ "X-Bramleyscale-Prompt-Prefix: " + parts + "ffffffff:400\r\n";
		Map<String, Integer> outcomes = new TreeMap<>();
		for (Caller caller : this.callers) {
			String attempt = Caller.newAttempt();
			String outcome;
			try {
				this.record.add("sent   " + attempt + " head of about " + headers.length() + " bytes");
				caller.sendHead(Config.STREAM, attempt, Fleet.KEY, LIMIT_MILLIS, headers, 5);
				caller.write("quote".getBytes());
				outcome = "status " + caller.read(LIMIT_MILLIS).status();
			}
			catch (IOException ex) {
				outcome = ex.toString();
			}
			this.record.add("answer " + attempt + " " + outcome);
			outcomes.merge(outcome, 1, Integer::sum);
		}
		int denied = outcomes.getOrDefault("status 431", 0) + outcomes.getOrDefault("status 400", 0);
		boolean broken = denied > 5 + this.callers.size() / 500;
		this.record.report("heads of about " + headers.length() + " bytes, limit 32768: " + outcomes);
		this.record.report(broken ? "DENIED is broken" : "DENIED holds");
		return broken;
	}

}
