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
			(engine) -> this.engines.startedAgain.contains(engine.id().value()),
			(engine) -> !this.engines.closed.contains(engine.id().value()), "entry-1~5", DecisionLog.NONE);

	private final List<Boolean> outcomes = new ArrayList<>();

	@Test
	void holdsAllInOneOrderAndRenewsUntilReleased() {
		MemoryHolds.Group group = reserve("b", "a");
		Truth.assertThat(this.engines.orders).containsExactly("reserve a", "reserve b").inOrder();
		Truth.assertThat(this.outcomes).containsExactly(true);
		this.scheduler.advance(MemoryHolds.RENEWAL);
		Truth.assertThat(this.engines.orders).hasSize(4);
		group.release();
		group.release();
		Truth.assertThat(this.engines.held).isEmpty();
		this.scheduler.advance(Duration.ofMinutes(1));
		Truth.assertThat(this.engines.orders).hasSize(6);
	}

	@Test
	void givesBackWhatItHasIfOneEngineRefuses() {
		this.engines.full.add("b");
		reserve("a", "b", "c");
		Truth.assertThat(this.outcomes).containsExactly(false);
		Truth.assertThat(this.engines.held).isEmpty();
		Truth.assertThat(this.engines.orders).doesNotContain("reserve c");
	}

	/** Guards against orders to engines that leave or rest. */
	@Test
	void asksNothingOfAnEngineThatClosesWhileOthersAreAsked() {
		this.engines.closed.add("b");
		reserve("a", "b");
		Truth.assertThat(this.outcomes).containsExactly(false);
		Truth.assertThat(this.engines.held).isEmpty();
		Truth.assertThat(this.engines.orders).containsExactly("reserve a", "release a").inOrder();
	}

	@ParameterizedTest
	@ValueSource(longs = { 1_000, 5_000, 12_000 })
	void anOrderThatIsCarriedOutLateDoesNotKeepMemory(long lateMillis) {
		// Symptom: an engine is short of memory that nobody uses. Sequence: an order gets
		// no
		// answer, the request is given up and its memory given back, then the order is
		// carried out. Cause: the engine sets memory aside for whoever asks, however
		// late.
		this.engines.silent.add("a");
		reserve("a");
		this.scheduler.advance(Duration.ofMillis(lateMillis));
		this.engines.silent.clear();
		this.engines.held.add("a");
		this.scheduler.advance(MemoryHolds.AGAIN.plusMillis(1));
		Truth.assertThat(this.engines.held).isEmpty();
		this.scheduler.advance(Duration.ofMinutes(1));
		int orders = this.engines.orders.size();
		this.scheduler.advance(Duration.ofMinutes(1));
		Truth.assertThat(this.engines.orders).hasSize(orders);
	}

	@Test
	void anEngineThatStartedAgainGetsNoRenewal() {
		// Symptom: an engine is short of memory just after its start. Sequence: a
		// prompt's
		// memory is held, its engine crashes and starts again under its id, the hold is
		// renewed there. Cause: a renewal of an unknown hold makes a new one.
		MemoryHolds.Group group = reserve("a", "b");
		this.engines.startedAgain.add("a");
		this.engines.held.remove("a");
		this.scheduler.advance(MemoryHolds.RENEWAL.multipliedBy(3));
		Truth.assertThat(this.engines.held).containsExactly("b");
		group.release();
		Truth.assertThat(this.engines.held).isEmpty();
	}

	@Test
	void idsDifferBetweenGroups() {
		Truth.assertThat(reserve("a").id()).isNotEqualTo(reserve("a").id());
	}

	private MemoryHolds.Group reserve(String... names) {
		List<MemoryHold> wanted = new ArrayList<>();
		for (String name : names) {
			wanted.add(new MemoryHold(new Backend(EndpointStart.untold(name), new ServiceName("quotes"),
					HostAndPort.fromParts("10.0.0.1", 80), new DataCentre("east"), 4, false), 1_000));
		}
		MemoryHolds.Group group = this.holds.reserve(wanted, "r1", this.outcomes::add);
		this.scheduler.runDue();
		return group;
	}

	/**
	 * Engines that answer at once, refuse, or say nothing.
	 */
	private static final class Engines implements EngineOrders {

		private final List<String> orders = new ArrayList<>();

		private final Set<String> held = new HashSet<>();

		private final Set<String> full = new HashSet<>();

		private final Set<String> closed = new HashSet<>();

		private final Set<String> silent = new HashSet<>();

		private final Set<String> startedAgain = new HashSet<>();

		@Override
		public void onNotice(NoticeListener listener) {
			// These engines say nothing.
		}

		@Override
		public CompletableFuture<Boolean> reserve(Backend engine, String id, long tokens, Duration duration) {
			String name = engine.id().value();
			this.orders.add("reserve " + name);
			if (this.silent.contains(name)) {
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
			if (this.silent.contains(name)) {
				return CompletableFuture.failedFuture(new java.io.IOException("no answer"));
			}
			this.held.remove(name);
			return CompletableFuture.completedFuture(null);
		}

	}

}
