package org.bramleyscale.internal.gateway.hold;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import com.google.common.net.HostAndPort;
import com.google.common.truth.Truth;
import org.bramleyscale.DataCentre;
import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests of {@link MemoryHolds}.
 */
class MemoryHoldsTests {

	private final ManualScheduler scheduler = new ManualScheduler();

	private final Engines engines = new Engines();

	private final MemoryHolds holds = new MemoryHolds(this.scheduler, this.engines,
			(engine) -> this.engines.restarted.contains(engine.id().value()),
			(engine) -> !this.engines.notAccepting.contains(engine.id().value()), "entry-1~5", DecisionLog.NONE);

	private final List<Boolean> outcomes = new ArrayList<>();

	@Test
	void reservesInOrderOfIdsAndRenewsUntilReleased() {
		MemoryHolds.Group group = reserve("b", "a");
		Truth.assertThat(this.engines.orders).containsExactly("reserve a", "reserve b").inOrder();
		Truth.assertThat(this.outcomes).containsExactly(true);
		this.scheduler.advance(MemoryHolds.RENEWAL_INTERVAL);
		Truth.assertThat(this.engines.orders).hasSize(4);
		group.release();
		group.release();
		Truth.assertThat(this.engines.held).isEmpty();
		this.scheduler.advance(Duration.ofMinutes(1));
		Truth.assertThat(this.engines.orders).hasSize(6);
	}

	@Test
	void releasesAllHoldsIfOneEngineRefuses() {
		this.engines.full.add("b");
		reserve("a", "b", "c");
		Truth.assertThat(this.outcomes).containsExactly(false);
		Truth.assertThat(this.engines.held).isEmpty();
		Truth.assertThat(this.engines.orders).doesNotContain("reserve c");
	}

	/** Guards against orders to engines that are leaving or backing off. */
	@Test
	void sendsNoOrderToAnEngineThatStopsAcceptingMeanwhile() {
		this.engines.notAccepting.add("b");
		reserve("a", "b");
		Truth.assertThat(this.outcomes).containsExactly(false);
		Truth.assertThat(this.engines.held).isEmpty();
		Truth.assertThat(this.engines.orders).containsExactly("reserve a", "release a").inOrder();
	}

	@ParameterizedTest
	@ValueSource(longs = { 1_000, 5_000, 12_000 })
	void anOrderThatIsCarriedOutLateIsReleased(long lateMillis) {
		// Guards against memory that stays reserved on an engine without a user: an order
		// gets no answer, the request is abandoned and its memory released, then the
		// engine carries the order out, since it accepts orders however late.
		this.engines.unresponsive.add("a");
		reserve("a");
		this.scheduler.advance(Duration.ofMillis(lateMillis));
		this.engines.unresponsive.clear();
		this.engines.held.add("a");
		this.scheduler.advance(MemoryHolds.RELEASE_RETRY_INTERVAL.plusMillis(1));
		Truth.assertThat(this.engines.held).isEmpty();
		this.scheduler.advance(Duration.ofMinutes(1));
		int orders = this.engines.orders.size();
		this.scheduler.advance(Duration.ofMinutes(1));
		Truth.assertThat(this.engines.orders).hasSize(orders);
	}

	@Test
	void aRestartedEngineGetsNoRenewal() {
		// Guards against memory that stays reserved on a restarted engine: the engine
		// crashes while it holds memory for a prompt and restarts under the same id, and
		// a renewal of an unknown hold would create a new one.
		MemoryHolds.Group group = reserve("a", "b");
		this.engines.restarted.add("a");
		this.engines.held.remove("a");
		this.scheduler.advance(MemoryHolds.RENEWAL_INTERVAL.multipliedBy(3));
		Truth.assertThat(this.engines.held).containsExactly("b");
		group.release();
		Truth.assertThat(this.engines.held).isEmpty();
	}

	@Test
	void idsDifferBetweenGroups() {
		Truth.assertThat(reserve("a").id()).isNotEqualTo(reserve("a").id());
	}

	private MemoryHolds.Group reserve(String... names) {
		List<MemoryHold> requested = new ArrayList<>();
		for (String name : names) {
			requested.add(new MemoryHold(new Backend(EndpointStart.withUnknownStart(name), new ServiceName("quotes"),
					HostAndPort.fromParts("10.0.0.1", 80), new DataCentre("east"), 4, false), 1_000));
		}
		MemoryHolds.Group group = this.holds.reserve(requested, "r1", this.outcomes::add);
		this.scheduler.runDue();
		return group;
	}

	/**
	 * Engines that answer at once, refuse, or don't answer.
	 */
	private static final class Engines implements EngineOrders {

		private final List<String> orders = new ArrayList<>();

		private final Set<String> held = new HashSet<>();

		private final Set<String> full = new HashSet<>();

		private final Set<String> notAccepting = new HashSet<>();

		private final Set<String> unresponsive = new HashSet<>();

		private final Set<String> restarted = new HashSet<>();

		@Override
		public void onNotice(NoticeListener listener) {
			// These engines send no notices.
		}

		@Override
		public CompletableFuture<Boolean> reserve(Backend engine, String id, long tokens, Duration duration) {
			String name = engine.id().value();
			this.orders.add("reserve " + name);
			if (this.unresponsive.contains(name)) {
				return CompletableFuture.failedFuture(new java.io.IOException("no answer"));
			}
			if (!this.full.contains(name)) {
				this.held.add(name);
			}
			return CompletableFuture.completedFuture(!this.full.contains(name));
		}

		@Override
		public CompletableFuture<Void> release(Backend engine, String id) {
			String name = engine.id().value();
			this.orders.add("release " + name);
			if (this.unresponsive.contains(name)) {
				return CompletableFuture.failedFuture(new java.io.IOException("no answer"));
			}
			this.held.remove(name);
			return CompletableFuture.completedFuture(null);
		}

	}

}
