package org.bramleyscale.internal.request.attempt;

import java.time.Duration;

import com.google.common.collect.Range;
import com.google.common.truth.Truth;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Test;

class RetryBudgetTests {

	private final ManualScheduler clock = new ManualScheduler();

	private final RetryBudget budget = new RetryBudget(this.clock, 0.1, 0.5, 10);

	/**
	 * Guards against retry amplification: when all endpoints fail and each request is
	 * tried three times, unbounded retries send several times the normal number of
	 * attempts while fewer requests complete.
	 */
	@Test
	void limits1000FailedRequestsToTenPercentRetries() {
		int retries = 0;
		for (int request = 0; request < 1000; request++) {
			this.budget.firstAttempt();
			retries += tryAcquire() + tryAcquire();
		}
		Truth.assertThat(retries).isIn(Range.closed(100, 110));
	}

	@Test
	void allowsLimitedRetriesWithoutTraffic() {
		int atOnce = 0;
		for (int attempt = 0; attempt < 100; attempt++) {
			atOnce += tryAcquire();
		}
		Truth.assertThat(atOnce).isEqualTo(10);
		this.clock.advance(Duration.ofSeconds(2));
		Truth.assertThat(tryAcquire() + tryAcquire()).isEqualTo(1);
	}

	private int tryAcquire() {
		return (this.budget.tryAcquire()) ? 1 : 0;
	}

}
