package org.bramleyscale.internal.gateway.request;

import java.time.Duration;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.gateway.placement.Placement;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests of {@link QueueTurn} within {@link RelayedRequest}.
 */
class QueueTurnTests {

	private final RelayFixture fixture = new RelayFixture();

	@Test
	void theMoreUrgentOfTwoWaitingRequestsIsSentFirst() {
		this.fixture.offerEngines(2, 1);
		waitForever(6);
		this.fixture.call("/other/1");
		this.fixture.call("/stream/1");
		this.fixture.scriptedPlacements.clear();
		this.fixture.scheduler.advance(Placement.RETRY_INTERVAL);
		Truth.assertThat(this.fixture.sent.get(0).request.original().path()).isEqualTo("/stream/1");
		Truth.assertThat(this.fixture.sent).hasSize(2);
	}

	/**
	 * Guards against a change for services whose requests have one priority, also when a
	 * later document makes them differ or alike: they are placed again 25 ms after their
	 * own last placement, in no common order.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 0, 1 })
	void aNewDocumentChangesOnlyRequestsThatArriveLater(int otherPriority) {
		this.fixture.offerEngines(2, 1 - otherPriority);
		waitForever(1);
		this.fixture.call("/other/1");
		this.fixture.offerEngines(3, otherPriority);
		this.fixture.scheduler.advance(Placement.RETRY_INTERVAL);
		Truth.assertThat(this.fixture.sent).hasSize(1);
		waitForever(1);
		this.fixture.call("/other/2");
		this.fixture.scheduler.advance(Duration.ofMillis(24));
		this.fixture.last().respond(200, false, "ok");
		Truth.assertThat(this.fixture.sent).hasSize((otherPriority == 0) ? 1 : 2);
		this.fixture.scheduler.advance(Duration.ofMillis(1));
		Truth.assertThat(this.fixture.sent).hasSize(2);
	}

	@Test
	void aCallerThatLeavesEndsItsTurn() {
		this.fixture.offerEngines(2, 1);
		waitForever(1);
		RecordingCaller caller = this.fixture.call("/stream/1");
		caller.request.callerDisconnected();
		this.fixture.scheduler.advance(Duration.ofSeconds(1));
		Truth.assertThat(this.fixture.sent).isEmpty();
		Truth.assertThat(this.fixture.endedRequests()).isEqualTo(1);
	}

	@Test
	void aRequestThatEntersAsSuspectedCrasherLeavesTheQueueForItsTrial() {
		// Guards against an endpoint that ends under a request which was suspected only
		// after it had begun to wait.
		this.fixture.offerEngines(2, 1);
		waitForever(1);
		this.fixture.call("/stream/1");
		this.fixture.crashGuard.trialsOnly = true;
		this.fixture.scheduler.advance(Placement.RETRY_INTERVAL);
		Truth.assertThat(this.fixture.sent).hasSize(1);
		this.fixture.scheduler.advance(Duration.ofSeconds(1));
		Truth.assertThat(this.fixture.sent).hasSize(1);
	}

	private void waitForever(int placements) {
		for (int i = 0; i < placements; i++) {
			this.fixture.scriptedPlacements.add(Placement.waiting(1, "all slots taken"));
		}
	}

}
