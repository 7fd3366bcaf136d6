package org.bramleyscale.bench.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.ClientAccountId;
import org.bramleyscale.EndpointId;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.admission.FairAdmission;
import org.bramleyscale.internal.configuration.AccountRule;
import org.bramleyscale.internal.configuration.Configuration;
import org.bramleyscale.internal.configuration.ConfigurationSource;
import org.bramleyscale.internal.configuration.Register;
import org.bramleyscale.internal.configuration.Rules;
import org.bramleyscale.internal.endpoint.LoadReport;
import org.bramleyscale.internal.routing.SpeedExchange;
import org.bramleyscale.internal.time.ManualScheduler;

/**
 * One run of one contender in one setting, on a clock of its own.
 */
final class Trial {

	static final EngineProfile REFERENCE = new EngineProfile(10_000, 0.01, 0.0004, 512, 32, 400_000, true);

	private static final double LARGEST_SPEED_RATIO = 4;

	private static final Duration ROUND = Duration.ofMillis(250);

	private static final Duration REPORT_PERIOD = Duration.ofMillis(250);

	private static final int LARGE_PART = 32;

	private static final int PLAIN_SLOTS = 6;

	private static final double LARGEST_PLAIN_LOAD = 0.8;

	private final Setting setting;

	private final ManualScheduler scheduler = new ManualScheduler();

	private final List<FakeEngine> engines = new ArrayList<>();

	private final FakeGrants grants;

	private final FakeGroups groups;

	private final Outcomes outcomes;

	private final List<FakeEntry> entries = new ArrayList<>();

	Trial(Setting setting, Contender contender, List<Arrival> arrivals, long seed) {
		this.setting = setting;
		for (int i = 0; i < setting.engines(); i++) {
			this.engines.add(new FakeEngine(this.scheduler, new EndpointId("engine-" + i), profile(setting, i)));
		}
		this.grants = new FakeGrants(this.engines, Workload.ENTRIES);
		this.groups = new FakeGroups(this.engines, this.grants);
		this.outcomes = new Outcomes(arrivals);
		FakeService plain = new FakeService(this.scheduler, PLAIN_SLOTS, plainSeconds(setting, arrivals),
				Workload.random(seed));
		Map<VmId, FakeNetwork> networks = new TreeMap<>((a, b) -> a.value().compareTo(b.value()));
		Cluster cluster = new Cluster(this.scheduler, this.engines, this.grants, this.groups, plain, this.outcomes);
		for (int i = 0; i < Workload.ENTRIES; i++) {
			FairAdmission admission = FairAdmission
				.builder(this.scheduler, new FixedConfiguration(), new MetricRegistry())
				.build();
			FakeEntry entry = new FakeEntry(cluster, i, contender, admission, Workload.random(seed + i));
			this.entries.add(entry);
			if (contender.uses(Mechanism.SPEED_EXCHANGE)) {
				FakeNetwork network = new FakeNetwork(this.scheduler, entry.incarnation(), networks);
				new SpeedExchange(this.scheduler, network, network, entry.pool().speeds());
			}
		}
	}

	/**
	 * The work that the engines of a setting can do, in units of one reference engine.
	 * @param setting the setting
	 * @return the capacity
	 */
	static double capacity(Setting setting) {
		double capacity = 0;
		for (int i = 0; i < setting.engines(); i++) {
			capacity += factor(setting, i);
		}
		return capacity;
	}

	ManualScheduler scheduler() {
		return this.scheduler;
	}

	List<FakeEngine> engines() {
		return this.engines;
	}

	List<FakeEntry> entries() {
		return this.entries;
	}

	long ejections() {
		return this.entries.stream().mapToLong((entry) -> entry.pool().ejections()).sum();
	}

	/**
	 * Runs to the end of the last request.
	 * @param prepare schedules what happens meanwhile
	 * @return the outcomes
	 */
	Outcomes run(Consumer<Trial> prepare) {
		long latest = 0;
		for (Arrival arrival : this.outcomes.arrivals()) {
			this.scheduler.schedule(Duration.ofNanos(arrival.atNanos()),
					() -> this.entries.get(arrival.entry()).arrive(arrival));
			latest = Math.max(latest, arrival.atNanos() + arrival.timeLeftNanos());
		}
		for (int i = 0; i < this.engines.size(); i++) {
			int engine = i;
			Duration offset = REPORT_PERIOD.multipliedBy(i).dividedBy(this.engines.size());
			this.scheduler.schedule(offset, () -> report(engine));
		}
		this.scheduler.schedule(Duration.ZERO, this::round);
		prepare.accept(this);
		this.scheduler.advance(Duration.ofNanos(latest + 1));
		return this.outcomes;
	}

	private void round() {
		this.groups.collect();
		long smallest = this.engines.get(0).profile().kvCapacity() / LARGE_PART;
		for (FakeEntry entry : this.entries) {
			entry.wish(smallest);
		}
		this.grants.divide();
		for (FakeEntry entry : this.entries) {
			entry.pool().checkOverdue();
			entry.pump();
		}
		this.scheduler.schedule(ROUND, this::round);
	}

	private void report(int engine) {
		LoadReport report = this.engines.get(engine).report();
		long at = this.scheduler.nanos();
		Duration lag = Duration.ofNanos((long) (this.setting.reportLag() * 1e9));
		this.scheduler.schedule(lag, () -> this.entries.forEach((entry) -> entry.pool().reported(engine, report, at)));
		this.scheduler.schedule(REPORT_PERIOD, () -> report(engine));
	}

	private static EngineProfile profile(Setting setting, int engine) {
		EngineProfile profile = REFERENCE.faster(factor(setting, engine));
		return new EngineProfile(profile.prefillTokensPerSecond(), profile.stepSeconds(), profile.tokenSeconds(),
				profile.chunkTokens(), profile.slots(), profile.kvCapacity(), setting.stepPriorities());
	}

	private static double factor(Setting setting, int engine) {
		double ratio = (engine * 7 % setting.engines()) / (setting.engines() - 1.0);
		return setting.speed() * (setting.unequal() ? 1 + (LARGEST_SPEED_RATIO - 1) * ratio : 1);
	}

	private static double plainSeconds(Setting setting, List<Arrival> arrivals) {
		long calls = arrivals.stream().filter(Arrival::plain).count();
		double span = arrivals.get(arrivals.size() - 1).atNanos() / 1e9;
		return Math.min(LARGEST_PLAIN_LOAD, setting.load()) * PLAIN_SLOTS * span / Math.max(1, calls);
	}

	/**
	 * Rules without limits: what the measurement loads is the engines.
	 */
	private static final class FixedConfiguration implements ConfigurationSource {

		private final Configuration configuration;

		private FixedConfiguration() {
			List<AccountRule> accounts = new ArrayList<>();
			for (int i = 0; i < Workload.ACCOUNTS; i++) {
				accounts.add(new AccountRule(new ClientAccountId("account-" + i), "hash-" + i, 1, 0, 0, List.of(), 2));
			}
			this.configuration = new Configuration(1, Register.EMPTY,
					new Rules(Set.of(FakeEntry.PLAIN_SERVICE), accounts));
		}

		@Override
		public Configuration current() {
			return this.configuration;
		}

		@Override
		public boolean fresh() {
			return true;
		}

		@Override
		public void onChange(Consumer<Configuration> listener) {
			// The rules don't change during a run.
		}

	}

}
