package org.bramleyscale.standins.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Injects every single fault and every pair of faults into a fleet of complete daemons
 * under load.
 */
class FaultPairTests {

	// The log of a thousand injected failures would hide the message of a failing run.
	private static final Logger LOGGER = Logger.getLogger("org.bramleyscale");

	@BeforeAll
	static void disableLogging() {
		LOGGER.setLevel(Level.OFF);
	}

	@AfterAll
	static void restoreLogging() {
		LOGGER.setLevel(null);
	}

	// Guards against two faults that together break an invariant although each alone does
	// not: two faults begin at random times within 5 s of each other while callers
	// stream, book and send prompts larger than an engine. The message names the
	// invariant and the time; the seed reproduces the run exactly.
	@ParameterizedTest(name = "{0}, seed {1}")
	@MethodSource("runs")
	void invariantsHoldUnderSingleFaultsAndPairs(List<FleetFault> faults, long seed) {
		List<String> violations = new FaultRun(seed).run(faults);
		Truth.assertWithMessage("violations under %s with seed %s", faults, seed).that(violations).isEmpty();
	}

	static Stream<Arguments> runs() {
		List<Arguments> runs = new ArrayList<>();
		long seed = 1;
		runs.add(Arguments.of(List.of(), seed++));
		for (FleetFault first : FleetFault.values()) {
			runs.add(Arguments.of(List.of(first), seed++));
		}
		for (FleetFault first : FleetFault.values()) {
			for (FleetFault second : FleetFault.values()) {
				if (first.compareTo(second) <= 0) {
					runs.add(Arguments.of(List.of(first, second), seed++));
				}
			}
		}
		return runs.stream();
	}

}
