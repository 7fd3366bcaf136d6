package org.bramleyscale.bench.routing;

import java.util.List;
import java.util.function.Consumer;

/**
 * One trial to run.
 *
 * @param group the part of the report it belongs to
 * @param setting the setting
 * @param contender the contender
 * @param longest the longest prompt offered, in tokens
 * @param seed the seed
 * @param prepare schedules what happens during the trial
 */
record PlannedTrial(String group, Setting setting, Contender contender, int longest, long seed,
		Consumer<Trial> prepare) {

	RoutingRow run() {
		List<Arrival> all = Workload.create(this.setting, Trial.capacity(this.setting), Trial.REFERENCE, this.seed);
		List<Arrival> arrivals = (this.longest < Integer.MAX_VALUE) ? Workload.upTo(all, this.longest) : all;
		Trial trial = new Trial(this.setting, this.contender, arrivals, this.seed);
		Outcomes outcomes = trial.run(this.prepare);
		return RoutingRow.of(this, new Summary(outcomes, trial.ejections()));
	}

}
