package org.bramleyscale.internal.endpoint.owner;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;

import org.bramleyscale.Incarnation;
import org.bramleyscale.internal.endpoint.EngineClient;
import org.bramleyscale.internal.endpoint.EngineHold;
import org.bramleyscale.internal.endpoint.HoldTimes;
import org.bramleyscale.internal.time.Clock;

/**
 * Reconciles the holds on an engine with the owner's registry of holds.
 *
 * <p>
 * Invariant: the hold of an unresponsive holder is released only while this daemon holds
 * the shard's lease. Confined to the scheduler's thread.
 */
final class HoldReconciler {

	/**
	 * Delay before an engine that had too little memory is asked again.
	 */
	private static final long RETRY_DELAY = Duration.ofMillis(250).toNanos();

	private static final long CALL_TIMEOUT = Duration.ofSeconds(2).toNanos();

	private final HoldBook registry;

	private final Clock clock;

	private final EngineClient engines;

	private final BooleanSupplier leaseHeld;

	private long listedAt;

	private boolean everListed;

	HoldReconciler(HoldBook registry, Clock clock, EngineClient engines, BooleanSupplier leaseHeld) {
		this.registry = registry;
		this.clock = clock;
		this.engines = engines;
		this.leaseHeld = leaseHeld;
	}

	HoldBook registry() {
		return this.registry;
	}

	/**
	 * Performs the work that is due: expires holds that are no longer renewed, places the
	 * hold that has waited longest, renews and releases holds at the engine, and
	 * reconciles the registry with the engine's list.
	 */
	void progress() {
		long now = this.clock.nanos();
		for (MemoryHold hold : List.copyOf(this.registry.holds())) {
			expireUnrenewed(hold, now);
			renewOrRetry(hold, now);
			release(hold, now);
		}
		this.registry.placeable().ifPresent((hold) -> {
			hold.state(MemoryHold.State.PLACING);
			requestHold(hold, now);
		});
		this.registry.updateAccount();
		requestList(now);
	}

	private void expireUnrenewed(MemoryHold hold, long now) {
		long sinceContact = now - hold.lastContactAt();
		if (sinceContact < HoldTimes.HOLDER_TIMEOUT.toNanos()) {
			return;
		}
		if (!hold.occupies()) {
			this.registry.remove(hold);
		}
		else if (this.leaseHeld.getAsBoolean()) {
			// Without the lease, another owner may be receiving the renewals, and a
			// release would free the memory of a running request.
			hold.state(MemoryHold.State.RELEASING);
		}
		else if (sinceContact > HoldTimes.HOLDER_TIMEOUT.plus(HoldTimes.ENGINE_LIFETIME).toNanos()) {
			this.registry.remove(hold);
		}
	}

	private void renewOrRetry(MemoryHold hold, long now) {
		long sinceCall = now - hold.lastCallAt();
		boolean renewed = now - hold.lastContactAt() < HoldTimes.HOLDER_TIMEOUT.toNanos();
		boolean renewal = hold.state() == MemoryHold.State.HELD && renewed
				&& sinceCall >= HoldTimes.ENGINE_RENEW_PERIOD.toNanos();
		boolean unanswered = hold.state() == MemoryHold.State.PLACING && sinceCall >= CALL_TIMEOUT;
		if (renewal || unanswered) {
			requestHold(hold, now);
		}
	}

	private void requestHold(MemoryHold hold, long now) {
		hold.called(now);
		EngineHold request = new EngineHold(hold.id(), hold.holder().toString(), hold.kvTokens(),
				HoldTimes.ENGINE_LIFETIME);
		this.engines.hold(this.registry.engine(), request).whenComplete((kept, failure) -> {
			if (failure == null) {
				holdAnswered(hold, kept);
			}
		});
	}

	private void holdAnswered(MemoryHold hold, boolean kept) {
		boolean known = this.registry.find(hold.id()).filter(hold::equals).isPresent();
		if (!known || hold.state() == MemoryHold.State.RELEASING) {
			return;
		}
		boolean placing = hold.state() == MemoryHold.State.PLACING;
		if (!kept && !placing) {
			this.registry.lost(hold);
		}
		else if (!kept) {
			hold.state(MemoryHold.State.WAITING);
			hold.deferredUntil(this.clock.nanos() + RETRY_DELAY);
		}
		else if (placing) {
			hold.state(MemoryHold.State.HELD);
			this.registry.confirm(hold);
		}
		this.registry.updateAccount();
	}

	private void release(MemoryHold hold, long now) {
		boolean releasePending = hold.releaseCalled() && now - hold.lastCallAt() < HoldTimes.RECONCILE_PERIOD.toNanos();
		if (hold.state() != MemoryHold.State.RELEASING || releasePending) {
			return;
		}
		hold.releaseCalled(true);
		hold.called(now);
		this.engines.release(this.registry.engine(), hold.id()).whenComplete((done, failure) -> {
			if (failure == null) {
				this.registry.remove(hold);
				this.registry.updateAccount();
			}
		});
	}

	private void requestList(long now) {
		boolean holding = !this.registry.holds().isEmpty();
		Duration period = holding ? HoldTimes.RECONCILE_PERIOD : HoldTimes.ENGINE_LIFETIME;
		boolean plainService = this.registry.engine().models().isEmpty();
		if (plainService || (this.everListed && now - this.listedAt < period.toNanos())) {
			return;
		}
		this.everListed = true;
		this.listedAt = now;
		this.engines.holds(this.registry.engine()).whenComplete((listedHolds, failure) -> {
			if (failure == null) {
				reconcile(listedHolds, now);
			}
		});
	}

	private void reconcile(List<EngineHold> listedHolds, long requestedAt) {
		Set<String> atEngine = new HashSet<>();
		for (EngineHold held : listedHolds) {
			atEngine.add(held.hold());
			if (this.registry.find(held.hold()).isEmpty()) {
				Incarnation holder = Incarnation.parse(held.holder());
				this.registry.adopt(new MemoryHold(held.hold(), holder, held.kvTokens(), MemoryHold.State.HELD,
						this.clock.nanos()));
			}
		}
		for (MemoryHold hold : List.copyOf(this.registry.holds())) {
			boolean calledBefore = hold.lastCallAt() - requestedAt < 0;
			if (!atEngine.contains(hold.id()) && calledBefore) {
				missingAtEngine(hold);
			}
		}
		this.registry.updateAccount();
	}

	private void missingAtEngine(MemoryHold hold) {
		if (hold.state() == MemoryHold.State.HELD) {
			this.registry.lost(hold);
		}
		else if (hold.state() == MemoryHold.State.RELEASING) {
			this.registry.remove(hold);
		}
	}

}
