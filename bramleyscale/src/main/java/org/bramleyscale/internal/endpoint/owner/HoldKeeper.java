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
 * Makes the engine's holds and the owner's book agree.
 *
 * <p>
 * Invariant: a hold is released for its holder's silence only while the lease is held.
 * Confined to the scheduler's thread.
 */
final class HoldKeeper {

	/**
	 * After the engine said that it has too little memory, it isn't asked for so long.
	 */
	private static final long RETRY = Duration.ofMillis(250).toNanos();

	private static final long CALL_LIMIT = Duration.ofSeconds(2).toNanos();

	private final HoldBook book;

	private final Clock clock;

	private final EngineClient engines;

	private final BooleanSupplier leaseHeld;

	private long listedAt;

	private boolean listed;

	HoldKeeper(HoldBook book, Clock clock, EngineClient engines, BooleanSupplier leaseHeld) {
		this.book = book;
		this.clock = clock;
		this.engines = engines;
		this.leaseHeld = leaseHeld;
	}

	HoldBook book() {
		return this.book;
	}

	/**
	 * Does what is due: ends silent holds, places the one that waits longest, renews and
	 * releases at the engine, and compares the lists.
	 */
	void progress() {
		long now = this.clock.nanos();
		for (MemoryHold hold : List.copyOf(this.book.holds())) {
			endSilent(hold, now);
			askAgain(hold, now);
			release(hold, now);
		}
		this.book.placeable().ifPresent((hold) -> {
			hold.state(MemoryHold.State.PLACING);
			ask(hold, now);
		});
		this.book.account();
		compare(now);
	}

	private void endSilent(MemoryHold hold, long now) {
		long silent = now - hold.heardAt();
		if (silent < HoldTimes.SILENCE.toNanos()) {
			return;
		}
		if (!hold.occupies()) {
			this.book.remove(hold);
		}
		else if (this.leaseHeld.getAsBoolean()) {
			// Without the lease another owner may be hearing the holder, and a release
			// would take the memory from under a running request.
			hold.state(MemoryHold.State.RELEASING);
		}
		else if (silent > HoldTimes.SILENCE.plus(HoldTimes.ENGINE_LIFETIME).toNanos()) {
			this.book.remove(hold);
		}
	}

	private void askAgain(MemoryHold hold, long now) {
		long since = now - hold.placedAt();
		boolean heard = now - hold.heardAt() < HoldTimes.SILENCE.toNanos();
		boolean renewal = hold.state() == MemoryHold.State.HELD && heard
				&& since >= HoldTimes.ENGINE_RENEW_PERIOD.toNanos();
		boolean unanswered = hold.state() == MemoryHold.State.PLACING && since >= CALL_LIMIT;
		if (renewal || unanswered) {
			ask(hold, now);
		}
	}

	private void ask(MemoryHold hold, long now) {
		hold.placed(now);
		EngineHold wish = new EngineHold(hold.id(), hold.holder().toString(), hold.kvTokens(),
				HoldTimes.ENGINE_LIFETIME);
		this.engines.hold(this.book.engine(), wish).whenComplete((kept, failure) -> {
			if (failure == null) {
				answered(hold, kept);
			}
		});
	}

	private void answered(MemoryHold hold, boolean kept) {
		boolean known = this.book.find(hold.id()).filter(hold::equals).isPresent();
		if (!known || hold.state() == MemoryHold.State.RELEASING) {
			return;
		}
		boolean placing = hold.state() == MemoryHold.State.PLACING;
		if (!kept && !placing) {
			this.book.lose(hold);
		}
		else if (!kept) {
			hold.state(MemoryHold.State.WAITING);
			hold.deferredUntil(this.clock.nanos() + RETRY);
		}
		else if (placing) {
			hold.state(MemoryHold.State.HELD);
			this.book.confirm(hold);
		}
		this.book.account();
	}

	private void release(MemoryHold hold, long now) {
		boolean asked = hold.calling() && now - hold.placedAt() < HoldTimes.RECONCILE_PERIOD.toNanos();
		if (hold.state() != MemoryHold.State.RELEASING || asked) {
			return;
		}
		hold.calling(true);
		hold.placed(now);
		this.engines.release(this.book.engine(), hold.id()).whenComplete((done, failure) -> {
			if (failure == null) {
				this.book.remove(hold);
				this.book.account();
			}
		});
	}

	private void compare(long now) {
		boolean holding = !this.book.holds().isEmpty();
		Duration period = holding ? HoldTimes.RECONCILE_PERIOD : HoldTimes.ENGINE_LIFETIME;
		boolean plainService = this.book.engine().models().isEmpty();
		if (plainService || (this.listed && now - this.listedAt < period.toNanos())) {
			return;
		}
		this.listed = true;
		this.listedAt = now;
		this.engines.holds(this.book.engine()).whenComplete((list, failure) -> {
			if (failure == null) {
				compared(list, now);
			}
		});
	}

	private void compared(List<EngineHold> list, long askedAt) {
		Set<String> atEngine = new HashSet<>();
		for (EngineHold held : list) {
			atEngine.add(held.hold());
			if (this.book.find(held.hold()).isEmpty()) {
				Incarnation holder = Incarnation.parse(held.holder());
				this.book.adopt(new MemoryHold(held.hold(), holder, held.kvTokens(), MemoryHold.State.HELD,
						this.clock.nanos()));
			}
		}
		for (MemoryHold hold : List.copyOf(this.book.holds())) {
			boolean askedBefore = hold.placedAt() - askedAt < 0;
			if (!atEngine.contains(hold.id()) && askedBefore) {
				missing(hold);
			}
		}
		this.book.account();
	}

	private void missing(MemoryHold hold) {
		if (hold.state() == MemoryHold.State.HELD) {
			this.book.lose(hold);
		}
		else if (hold.state() == MemoryHold.State.RELEASING) {
			this.book.remove(hold);
		}
	}

}
