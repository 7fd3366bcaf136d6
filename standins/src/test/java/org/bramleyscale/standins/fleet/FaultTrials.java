package org.bramleyscale.standins.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Prints, for each fault, the outcomes of requests, the longest time for which memory was
 * retained, and the violated invariants. Takes the number of seeds; run by hand.
 */
public final class FaultTrials {

	private FaultTrials() {
	}

	public static void main(String[] arguments) {
		int seeds = (arguments.length > 0) ? Integer.parseInt(arguments[0]) : 3;
		row("NONE", List.of(), seeds);
		for (FleetFault fault : FleetFault.values()) {
			row(fault.name(), List.of(fault), seeds);
		}
	}

	private static void row(String name, List<FleetFault> faults, int seeds) {
		Duration longestRetention = Duration.ZERO;
		Map<String, Integer> outcomes = new TreeMap<>();
		long startedAt = System.nanoTime();
		for (int seed = 1; seed <= seeds; seed++) {
			FaultRun run = new FaultRun(seed);
			List<String> violations = run.run(faults);
			longestRetention = (run.longestRetention().compareTo(longestRetention) > 0) ? run.longestRetention()
					: longestRetention;
			run.outcomes().forEach((outcome, count) -> outcomes.merge(outcome, count, Integer::sum));
			int number = seed;
			violations.forEach((violation) -> System.out.println("  seed " + number + " " + violation));
		}
		System.out.printf("%-26s memory retained for at most %s; %s; %d ms a run%n", name, longestRetention, outcomes,
				(System.nanoTime() - startedAt) / 1_000_000 / seeds);
	}

}
