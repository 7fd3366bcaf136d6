package org.bramleyscale.internal.gateway.request;

import java.time.Duration;
import java.util.Optional;

import com.google.common.truth.Truth;
import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.bramleyscale.internal.gateway.catalog.Service;
import org.bramleyscale.internal.gateway.retry.RetryWindow;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of {@link Tries}.
 */
class TriesTests {

	private static final ServiceName SERVICE = new ServiceName("bookings");

	@ParameterizedTest
	@CsvSource({
			// repeatable, attempts, asked, may have run, still running, budget, runs
			// again
			"false, 2, 1, 0, 1, 10, false", "false, 2, 1, 1, 0, 10, false", "true, 2, 1, 0, 1, 10, true",
			"true, 2, 1, 1, 0, 10, true", "true, 2, 2, 1, 1, 10, false", "true, 1, 1, 0, 1, 10, false",
			"true, 9, 4, 1, 1, 10, false", "true, 2, 1, 0, 1, 0, false" })
	void runsAgainOnlyWhereRouteAndBudgetAllowIt(boolean repeatable, int attempts, int asked, int mayHaveRun,
			int running, int budget, boolean again) {
		// Symptom: a booking is made twice, or an outage is amplified. Sequence: an
		// endpoint breaks off in the middle of its answer. Cause: the request was sent
		// again although it may have run, or without regard to the budget.
		Tries tries = tries(repeatable, attempts, asked, mayHaveRun, budget);
		Truth.assertThat(tries.takeRun(running)).isEqualTo(again);
	}

	@ParameterizedTest
	@CsvSource({
			// asked, arrived, budget, tries again
			"1, false, 0, true", "1, true, 10, true", "1, true, 0, false", "3, false, 0, true", "4, false, 10, false" })
	void whatDidNotRunIsTriedElsewhere(int asked, boolean arrived, int budget, boolean again) {
		Truth.assertThat(tries(false, 1, asked, 0, budget).takeTry(arrived)).isEqualTo(again);
	}

	private static Tries tries(boolean repeatable, int attempts, int asked, int mayHaveRun, int budget) {
		Route route = Route.builder("book", "hire.example", "/book/")
			.service(SERVICE.value())
			.timeout(Duration.ofSeconds(1))
			.maxAttempts(attempts)
			.idempotent(repeatable)
			.build();
		RetryWindow window = new RetryWindow(new ManualScheduler(), Duration.ofSeconds(10), 0, budget, () -> 1);
		Tries tries = new Tries(window,
				new Allowed(route, new Service(SERVICE, 1, Optional.empty()), Optional.empty(), 1));
		for (int i = 0; i < asked; i++) {
			tries.asks(EndpointStart.untold("e" + i));
		}
		for (int i = 0; i < mayHaveRun; i++) {
			tries.mayHaveRun();
		}
		return tries;
	}

}
