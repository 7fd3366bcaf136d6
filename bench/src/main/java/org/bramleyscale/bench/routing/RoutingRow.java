package org.bramleyscale.bench.routing;

import java.util.Arrays;

/**
 * The figures of one trial.
 *
 * @param group the part of the report it belongs to
 * @param setting the setting's label
 * @param load offered work as a part of capacity
 * @param contender the contender's name
 * @param shortP50 time to first token of prompts up to 2k tokens, median, in seconds
 * @param shortP95 the same, 95th percentile
 * @param shortP99 the same, 99th percentile
 * @param longP95 time to first token of prompts of 32k to 100k tokens, 95th percentile
 * @param groupsFinished prompts that needed a group of engines and completed
 * @param groupsOffered prompts that needed a group of engines
 * @param goodput tokens of requests that completed in time, a second
 * @param refused part of the requests refused at once
 * @param failed part of the requests whose time ran out after admission
 * @param worstTimeUsed part of their time that the 99th percentile of any band used
 * @param fairness the largest account's part of the tokens over its part of the offer
 * @param ejections endpoints ejected
 */
record RoutingRow(String group, String setting, double load, String contender, double shortP50, double shortP95,
		double shortP99, double longP95, int groupsFinished, int groupsOffered, double goodput, double refused,
		double failed, double worstTimeUsed, double fairness, long ejections) {

	private static final double MEDIAN = 50;

	private static final double P95 = 95;

	private static final double P99 = 99;

	static RoutingRow of(PlannedTrial trial, Summary summary) {
		Summary.BandFigures shortBand = summary.band(Band.SHORT);
		Summary.BandFigures groups = summary.band(Band.GROUP);
		int offered = Arrays.stream(Band.values()).mapToInt((band) -> summary.band(band).offered()).sum();
		int refused = Arrays.stream(Band.values()).mapToInt((band) -> summary.band(band).refused()).sum();
		int failed = Arrays.stream(Band.values()).mapToInt((band) -> summary.band(band).failed()).sum();
		double timeUsed = Arrays.stream(Band.values())
			.mapToDouble((band) -> summary.band(band).timeUsed(P99))
			.max()
			.orElse(0);
		return new RoutingRow(trial.group(), trial.setting().label(), trial.setting().load(), trial.contender().name(),
				shortBand.firstToken(MEDIAN), shortBand.firstToken(P95), shortBand.firstToken(P99),
				summary.band(Band.LONG).firstToken(P95), groups.offered() - groups.refused() - groups.failed(),
				groups.offered(), summary.goodput(), (double) refused / offered, (double) failed / offered, timeUsed,
				fairness(summary), summary.ejections());
	}

	private static double fairness(Summary summary) {
		double all = Arrays.stream(summary.accountTokens()).sum();
		return (all > 0) ? summary.accountTokens()[0] / all / Workload.ACCOUNT_PARTS[0] : 0;
	}

}
