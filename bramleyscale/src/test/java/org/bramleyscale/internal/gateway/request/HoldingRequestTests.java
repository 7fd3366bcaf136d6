package org.bramleyscale.internal.gateway.request;

import java.time.Duration;
import java.util.List;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.hold.MemoryHold;
import org.bramleyscale.internal.gateway.placement.Placement;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests of {@link RelayedRequest} that waits for memory on other engines.
 */
class HoldingRequestTests {

	private final RelayFixture fixture = new RelayFixture();

	private final Backend target = this.fixture.engine("a");

	private final Backend holder = this.fixture.engine("b");

	/**
	 * Guards against sending to an engine that stopped accepting requests while memory on
	 * other engines was being reserved.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void requestAwaitingMemoryGoesElsewhereIfItsEngineStopsAccepting(boolean leaves) {
		callThatWaitsForMemory();
		if (leaves) {
			this.fixture.backends.announceLeaving(this.target.start());
		}
		else {
			this.fixture.health.backoffRequested(this.target.start(), Duration.ofSeconds(3));
		}
		this.fixture.orders.answer(true);
		Truth.assertThat(this.fixture.sent).hasSize(1);
		Truth.assertThat(this.fixture.last().to.id()).isNotEqualTo(this.target.id());
	}

	/** Guards against counting a request that waits for memory before it is sent. */
	@Test
	void requestThatWaitsForMemoryCountsWhenItIsSent() {
		callThatWaitsForMemory();
		Truth.assertThat(this.fixture.quota.calls).containsExactly("reserve a", "reserve b").inOrder();
		this.fixture.orders.answer(true);
		Truth.assertThat(this.fixture.quota.calls)
			.containsExactly("reserve a", "reserve b", "use a", "use b")
			.inOrder();
		Truth.assertThat(this.fixture.last().to).isEqualTo(this.target);
	}

	/**
	 * Guards against sending to an endpoint that became cold, or lost its holder, while
	 * the request waited for memory, and against places that stay reserved.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void requestWhosePlaceIsLostIsSentElsewhere(boolean held) {
		this.fixture.quota.reservationsValid = false;
		callThatWaitsForMemory();
		this.fixture.orders.answer(held);
		Truth.assertThat(this.fixture.sent).hasSize(1);
		Truth.assertThat(this.fixture.last().to).isNotEqualTo(this.target);
		Truth.assertThat(this.fixture.quota.calls).containsAtLeast("cancel a", "cancel b");
		Truth.assertThat(this.fixture.quota.calls).contains("sent " + this.fixture.last().to.id().value());
	}

	private void callThatWaitsForMemory() {
		this.fixture.scriptedPlacements.add(Placement.at(this.target, List.of(this.holder), 1, 1, "long")
			.holding(List.of(new MemoryHold(this.holder, 100))));
		this.fixture.call("/stream/x");
		this.fixture.scheduler.advance(Duration.ofMillis(1));
	}

}
