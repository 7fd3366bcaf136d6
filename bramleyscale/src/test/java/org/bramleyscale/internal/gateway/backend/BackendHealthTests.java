package org.bramleyscale.internal.gateway.backend;

import java.time.Duration;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of {@link BackendHealth}.
 */
class BackendHealthTests {

	private static final EndpointStart ID = EndpointStart.withUnknownStart("a");

	private final ManualScheduler scheduler = new ManualScheduler();

	private final BackendHealth health = new BackendHealth(this.scheduler, DecisionLog.NONE);

	@ParameterizedTest
	@CsvSource({ "1, 300", "2, 600", "3, 1200", "4, 2400", "9, 2400" })
	void backoffOfUnreachableEndpointGrowsEachTime(int times, long backoffMillis) {
		for (int i = 0; i < times; i++) {
			this.health.unreachable(ID, "connect");
		}
		this.scheduler.advance(Duration.ofMillis(backoffMillis - 1));
		Truth.assertThat(this.health.avoid(ID)).isTrue();
		this.scheduler.advance(Duration.ofMillis(2));
		Truth.assertThat(this.health.avoid(ID)).isFalse();
	}

	@Test
	void anEndpointThatFailsRequestsIsAvoidedForAWhile() {
		// Guards against sending most requests to an endpoint that fails them. Seen with
		// three endpoints: half of the bookings failed although every health check
		// succeeded, because the failing endpoint always looked least busy.
		this.health.failed(ID);
		Truth.assertThat(this.health.avoid(ID)).isFalse();
		this.health.failed(ID);
		Truth.assertThat(this.health.avoid(ID)).isTrue();
		this.scheduler.advance(Duration.ofSeconds(4));
		Truth.assertThat(this.health.avoid(ID)).isFalse();
		Truth.assertThat(this.health.failures(ID)).isWithin(0.01).of(1);
	}

	@Test
	void servedRequestEndsBackoff() {
		this.health.unreachable(ID, "connect");
		this.health.served(ID);
		Truth.assertThat(this.health.avoid(ID)).isFalse();
	}

	/**
	 * Guards against a requested back-off that an older answer or a lapsed entry cuts
	 * short.
	 */
	@Test
	void requestedBackoffIsNotCutShortByLaterEvents() {
		this.health.backoffRequested(ID, Duration.ofSeconds(3));
		this.health.backoffRequested(ID, Duration.ofSeconds(1));
		this.health.served(ID);
		this.health.remove(ID);
		this.scheduler.advance(Duration.ofMillis(2_999));
		Truth.assertThat(this.health.avoid(ID)).isTrue();
		Truth.assertThat(this.health.backoffLeft(ID)).isEqualTo(Duration.ofMillis(1));
		this.scheduler.advance(Duration.ofMillis(1));
		Truth.assertThat(this.health.avoid(ID)).isFalse();
	}

}
