package org.bramleyscale.standins.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

import org.bramleyscale.internal.endpoint.HoldTimes;
import org.bramleyscale.internal.time.ManualScheduler;

/**
 * One run of a fleet under load with injected faults.
 *
 * <p>
 * Load lasts 16 s, and faults begin in its first part. Afterwards all memory must become
 * free, and a prompt that needs two engines must be served. Confined to the test's
 * thread.
 */
final class FaultRun {

	private static final Duration LOAD_DURATION = Duration.ofSeconds(16);

	private static final Duration STEP = Duration.ofMillis(100);

	private static final int ARRIVAL_INTERVAL_MILLIS = 160;

	private static final int FIRST_FAULT_MILLIS = 2_000;

	private static final int FAULT_SPREAD_MILLIS = 5_000;

	private static final int RULE_CHANGES = 4;

	private static final Duration MAX_CALLER_WAIT = Duration.ofSeconds(40);

	private static final Duration MAX_MEMORY_RETENTION = HoldTimes.MAX_RETENTION;

	private static final Duration SETTLING_TIME = Duration.ofSeconds(8);

	private final Violations violations = new Violations();

	private final Fleet fleet;

	private final MemoryRetentionCheck memory;

	private final CallerContext context;

	private final ConfigurationCheck configuration;

	private final OperatorScript operator;

	private final FaultTargets targets;

	private final SplittableRandom random;

	private final List<ScriptedCaller> callers = new ArrayList<>();

	private int pendingFaults;

	FaultRun(long seed) {
		this.random = new SplittableRandom(seed);
		this.violations.clock(new ManualScheduler());
		this.fleet = new Fleet(seed, this.violations, this.violations::add);
		this.violations.clock(this.fleet.scheduler());
		this.memory = new MemoryRetentionCheck(this.fleet, this.violations);
		this.context = new CallerContext(this.fleet, new AddressCache(this.fleet), this.memory, this.violations);
		this.configuration = new ConfigurationCheck(this.fleet, this.violations);
		this.operator = new OperatorScript(this.fleet, this.configuration);
		this.targets = new FaultTargets(this.fleet, this.operator, this.violations);
	}

	/**
	 * Runs to the end.
	 * @param faults the faults to inject
	 * @return the violated invariants
	 */
	List<String> run(List<FleetFault> faults) {
		ManualScheduler scheduler = this.fleet.scheduler();
		faults.forEach(this::schedule);
		for (int i = 1; i <= RULE_CHANGES; i++) {
			scheduler.schedule(LOAD_DURATION.multipliedBy(i).dividedBy(RULE_CHANGES + 1), this.operator::changeRules);
		}
		for (long at = 0; at < LOAD_DURATION.toMillis(); at += ARRIVAL_INTERVAL_MILLIS) {
			scheduler.schedule(Duration.ofMillis(at + this.random.nextInt(ARRIVAL_INTERVAL_MILLIS)), this::arrive);
		}
		scheduler.advance(LOAD_DURATION);
		waitForCallers(MAX_CALLER_WAIT);
		waitForMemory();
		scheduler.advance(SETTLING_TIME);
		probe();
		this.configuration.check();
		this.callers.forEach(ScriptedCaller::check);
		return this.violations.found();
	}

	/**
	 * The longest time for which an engine kept memory for a request that had ended for
	 * its caller.
	 * @return the time
	 */
	Duration longestRetention() {
		return this.memory.longestRetention();
	}

	Map<String, Integer> outcomes() {
		Map<String, Integer> counts = new TreeMap<>();
		this.callers.forEach((caller) -> counts.merge(String.valueOf(caller.outcome()), 1, Integer::sum));
		return counts;
	}

	private void schedule(FleetFault fault) {
		this.pendingFaults++;
		Duration start = Duration.ofMillis(FIRST_FAULT_MILLIS + this.random.nextInt(FAULT_SPREAD_MILLIS));
		SplittableRandom faultRandom = this.random.split();
		this.fleet.scheduler().schedule(start, () -> {
			Runnable end = fault.begin(this.targets, faultRandom);
			this.fleet.scheduler().schedule(fault.duration(), () -> {
				end.run();
				this.pendingFaults--;
			});
		});
	}

	private void arrive() {
		int number = this.callers.size();
		int kind = this.random.nextInt(20);
		ScriptedCaller caller;
		if (kind < 6) {
			caller = new BookingCaller(this.context, number);
		}
		else {
			PromptSize size = (kind < 16) ? PromptSize.SHORT : (kind < 19) ? PromptSize.LONG : PromptSize.GROUP;
			caller = new GenerationCaller(this.context, number, size);
		}
		this.callers.add(caller);
		caller.start();
	}

	private void waitForCallers(Duration limit) {
		long end = this.fleet.scheduler().nanos() + limit.toNanos();
		while (this.fleet.scheduler().nanos() < end
				&& (this.pendingFaults > 0 || !this.callers.stream().allMatch(ScriptedCaller::ended))) {
			this.fleet.scheduler().advance(STEP);
		}
		this.callers.stream()
			.filter((caller) -> !caller.ended())
			.forEach((caller) -> this.violations.add(caller + " never ended"));
	}

	private void waitForMemory() {
		Duration waited = Duration.ZERO;
		while (this.fleet.kvUsed() > 0 && waited.compareTo(MAX_MEMORY_RETENTION) <= 0) {
			this.fleet.scheduler().advance(STEP);
			waited = waited.plus(STEP);
		}
		if (this.fleet.kvUsed() > 0) {
			this.violations
				.add(this.fleet.kvUsed() + " tokens of memory are still in use " + waited + " after the last request");
		}
	}

	private void probe() {
		List<ScriptedCaller> probes = new ArrayList<>();
		for (PromptSize size : PromptSize.values()) {
			probes.add(new GenerationCaller(this.context, this.callers.size() + probes.size(), size));
		}
		probes.forEach(ScriptedCaller::start);
		this.callers.addAll(probes);
		waitForCallers(MAX_CALLER_WAIT);
		probes.stream()
			.filter((probe) -> !"completed".equals(probe.outcome()))
			.forEach((probe) -> this.violations.add(probe + " after all faults: " + probe.outcome()));
	}

}
