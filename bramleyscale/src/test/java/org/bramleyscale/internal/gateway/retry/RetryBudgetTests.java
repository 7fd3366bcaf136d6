package org.bramleyscale.internal.gateway.retry;

import java.time.Duration;

import com.google.common.truth.Truth;
import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of {@link RetryBudget}.
 */
class RetryBudgetTests {

	private static final ServiceName SERVICE = new ServiceName("quotes");

	private static final Duration WINDOW = Duration.ofSeconds(10);

	private final ManualScheduler scheduler = new ManualScheduler();

	@ParameterizedTest
	@CsvSource({ "0, 7, 8", "100, 7, 28", "100, 1, 81", "0, 1000, 0" })
	void boundsRetriesByRequestsAndShareOfTheConstant(int requests, int daemons, int allowed) {
		RetryBudget budget = new RetryBudget(this.scheduler, WINDOW, 0.2, 102, () -> daemons);
		for (int i = 0; i < requests; i++) {
			budget.recordRequest(SERVICE);
		}
		int retries = 0;
		while (retries < 1_000 && budget.tryRetry(SERVICE)) {
			retries++;
		}
		Truth.assertThat(retries).isEqualTo(allowed);
	}

	@Test
	void noWindowExceedsItsBudgetWhileAllRequestsFail() {
		// Guards against retries that triple the load of the remaining endpoints: half of
		// the endpoints fail, and each request is retried without a bound.
		RetryBudget budget = new RetryBudget(this.scheduler, WINDOW, 0.2, 102, () -> 7);
		int retries = 0;
		for (int i = 0; i < 1_000; i++) {
			budget.recordRequest(SERVICE);
			retries += budget.tryRetry(SERVICE) ? 1 : 0;
			retries += budget.tryRetry(SERVICE) ? 1 : 0;
			this.scheduler.advance(Duration.ofMillis(100));
		}
		// 1,000 requests in 100 s: a fifth of them, and 8.7 in each of ten windows.
		Truth.assertThat(retries).isAtMost(200 + 88);
		Truth.assertThat(retries).isAtLeast(200);
	}

}
