package org.bramleyscale.bench.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * The trials of the routing measurement.
 *
 * <p>
 * Immutable.
 */
final class RoutingPlan {

	/** Group of the trials over loads. */
	static final String LOADS = "loads";

	/** Group of the trials over engines and reports. */
	static final String VARIED = "varied";

	/** Group of the trials without one mechanism each. */
	static final String ABLATIONS = "ablations";

	/** Group of the trials with one endpoint that slows down. */
	static final String SLOW = "one endpoint slowed tenfold";

	/** Name of the trials in which no long prompt is offered. */
	static final String NO_LONG = "no long prompt";

	/** The load at which most figures are asked for. */
	static final double HIGH_LOAD = 0.8;

	private static final double[] ALL_LOADS = { 0.3, 0.6, HIGH_LOAD, 0.95, 1.2 };

	private static final int HIRE_ENGINES = 20;

	private static final int NOTICE_ENGINES = 15;

	private static final double USUAL_LAG = 0.5;

	private static final double SLOWDOWN = 10;

	private static final Duration SLOW_AT = Duration.ofSeconds(120);

	private static final Consumer<Trial> NOTHING = (trial) -> {
	};

	private final int requests;

	private final long seed;

	RoutingPlan(int requests, long seed) {
		if (requests < 1) {
			throw new IllegalArgumentException("requests must be at least 1, were " + requests);
		}
		this.requests = requests;
		this.seed = seed;
	}

	List<PlannedTrial> trials() {
		List<PlannedTrial> trials = new ArrayList<>();
		Setting usual = new Setting(HIRE_ENGINES, HIGH_LOAD, false, 1, USUAL_LAG, true, this.requests);
		for (double load : ALL_LOADS) {
			add(trials, LOADS, usual.load(load), Contenders.OURS);
			Contenders.baselines().forEach((contender) -> add(trials, LOADS, usual.load(load), contender));
		}
		for (Setting setting : varied()) {
			add(trials, VARIED, setting, Contenders.OURS);
			add(trials, VARIED, setting, Contenders.LEAST_IN_FLIGHT);
			trials.add(new PlannedTrial(VARIED, setting, renamed(Contenders.OURS), Workload.SHORT_TOKENS, this.seed,
					NOTHING));
		}
		add(trials, ABLATIONS, usual, Contenders.OURS);
		Contenders.ablations().forEach((contender) -> add(trials, ABLATIONS, usual, contender));
		for (Contender contender : List.of(Contenders.OURS, Contenders.LEAST_IN_FLIGHT)) {
			trials.add(new PlannedTrial(SLOW, usual, contender, Integer.MAX_VALUE, this.seed, RoutingPlan::slowOne));
		}
		return trials;
	}

	private List<Setting> varied() {
		List<Setting> settings = new ArrayList<>();
		for (int engines : new int[] { HIRE_ENGINES, NOTICE_ENGINES }) {
			settings.add(new Setting(engines, HIGH_LOAD, false, 1, USUAL_LAG, true, this.requests));
			settings.add(new Setting(engines, HIGH_LOAD, true, 1, USUAL_LAG, true, this.requests));
			settings.add(new Setting(engines, HIGH_LOAD, false, 1, 0.1, true, this.requests));
			settings.add(new Setting(engines, HIGH_LOAD, false, 1, 3, true, this.requests));
			settings.add(new Setting(engines, HIGH_LOAD, true, 0.32, USUAL_LAG, true, this.requests));
			settings.add(new Setting(engines, HIGH_LOAD, true, 3.2, USUAL_LAG, true, this.requests));
		}
		return settings;
	}

	private void add(List<PlannedTrial> trials, String group, Setting setting, Contender contender) {
		trials.add(new PlannedTrial(group, setting, contender, Integer.MAX_VALUE, this.seed, NOTHING));
	}

	private static Contender renamed(Contender contender) {
		return new Contender(NO_LONG, contender.policies(), contender.mechanisms());
	}

	private static void slowOne(Trial trial) {
		trial.scheduler().schedule(SLOW_AT, () -> trial.engines().get(0).slowDown(SLOWDOWN));
	}

}
