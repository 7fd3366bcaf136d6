import java.io.IOException;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;

/**
 * The keys of the only tenant are taken away, and then its entry. Whoever asks after that,
 * with a key of the past or one that never existed, must get 401. Without the trouble the
 * tenant stays.
 */
final class LastKey {

	private static final String OTHER_KEY = "anfqasnmgkcuyj8pjbvk";

	private static final String NO_KEY = "neverheldneverheld00";

	private static final String BOTH_KEYS = tenants("\"" + Fleet.KEY + "\",\"" + OTHER_KEY + "\"");

	private static final int GAP_MILLIS = 1_500;

	/** The time after an ack within which a configuration applies, and some more. */
	private static final int APPLY_MILLIS = 2_000 + 1_000;

	private static final int CALLS_PER_DAEMON = 5;

	private static final int LIMIT_MILLIS = 3_000;

	private final Record record;

	private final Fleet fleet;

	private final Set<String> served = new TreeSet<>();

	private LastKey(Record record, Fleet fleet) {
		this.record = record;
		this.fleet = fleet;
	}

	public static void main(String[] arguments) {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int status = 2;
		try (Record record = new Record(Path.of(arguments[0])); Fleet fleet = new Fleet(record)) {
			fleet.store.put("config", "main", Config.json(4, Config.LIMITS, BOTH_KEYS));
			fleet.addRunners(3, "app", 100, 6, 20);
			fleet.addRunners(2, "llm", 120, 11, 20);
			fleet.startDaemons(3);
			status = new LastKey(record, fleet).run(trouble);
		}
		catch (Exception ex) {
			System.out.println("couldn't run: " + ex);
		}
		System.exit(status);
	}

	private static String tenants(String keys) {
		return "[{\"name\":\"hule930\",\"api_keys\":[" + keys + "],\"priority\":1}]";
	}

	private int run(boolean trouble) throws Exception {
		boolean keysWork = call("known key", Fleet.KEY) && call("other known key", OTHER_KEY);
		boolean unknownWorks = call("key that no config held", NO_KEY);
		if (!keysWork || unknownWorks) {
			this.record.report("couldn't run: the first config isn't in force");
			return 2;
		}
		this.served.clear();
		configure(7, trouble ? tenants("") : BOTH_KEYS);
		Thread.sleep(GAP_MILLIS);
		configure(9, trouble ? "[]" : BOTH_KEYS);
		Thread.sleep(APPLY_MILLIS);
		boolean dropped = trouble && call("key taken away", Fleet.KEY);
		boolean unknown = call("key that no config held", NO_KEY);
		this.record.report("served after the keys were taken away: " + (this.served.isEmpty() ? "none" : this.served));
		this.record.report((dropped || unknown) ? "ROUTE is broken" : "ROUTE holds");
		return (dropped || unknown) ? 1 : 0;
	}

	private void configure(long version, String tenants) {
		this.fleet.store.put("config", "main", Config.json(version, Config.LIMITS, tenants));
		this.record.report("config " + version + " acknowledged, tenants " + tenants);
	}

	/** Makes calls with a key at each daemon; returns whether a runner served one. */
	private boolean call(String what, String key) throws IOException {
		boolean any = false;
		for (Daemon daemon : this.fleet.daemons) {
			for (int i = 0; i < CALLS_PER_DAEMON; i++) {
				String attempt = Caller.newAttempt();
				try (Caller caller = new Caller(daemon)) {
					this.record.add("sent   " + attempt + " booking, " + what + " " + key);
					caller.sendHead(Config.BOOKING, attempt, key, LIMIT_MILLIS, "", 5);
					caller.write("order".getBytes());
					Message answer = caller.read(LIMIT_MILLIS);
					boolean run = answer.status() == 200 && !answer.header("X-Bramleyscale-Runner-Signature").isEmpty();
					this.record.add("answer " + attempt + " status " + answer.status() + (run ? ", by a runner" : ""));
					if (run) {
						any = true;
						this.served.add(what);
					}
				}
			}
		}
		return any;
	}

}
