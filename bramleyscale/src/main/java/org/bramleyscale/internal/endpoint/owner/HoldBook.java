package org.bramleyscale.internal.endpoint.owner;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;

import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.Amount;
import org.bramleyscale.internal.endpoint.EngineClient;
import org.bramleyscale.internal.endpoint.EngineHold;
import org.bramleyscale.internal.endpoint.HoldTimes;
import org.bramleyscale.internal.endpoint.Refused;
import org.bramleyscale.internal.endpoint.Reserved;
import org.bramleyscale.internal.peer.PeerMessage;
import org.bramleyscale.internal.time.Clock;
import org.jboss.logging.Logger;

/**
 * The holds on one engine, and those that wait for memory there.
 *
 * <p>
 * Invariants: only the hold that has waited longest collects memory; a hold counts in the
 * account from before the engine is asked for it until the engine has confirmed that it
 * is gone. Confined to the scheduler's thread.
 */
final class HoldBook {

	private static final Logger logger = Logger.getLogger(HoldBook.class);

	private static final int LONGEST_QUEUE = 8;

	private static final long RETRY = Duration.ofMillis(250).toNanos();

	private static final long CALL_LIMIT = Duration.ofSeconds(2).toNanos();

	private final Clock clock;

	private final EngineClient engines;

	private final EndpointAccount account;

	private final BooleanSupplier leaseHeld;

	private final BiConsumer<VmId, PeerMessage> sender;

	private final Map<String, MemoryHold> holds = new LinkedHashMap<>();

	private EndpointEntry engine;

	private long listedAt;

	private boolean listed;

	HoldBook(EndpointEntry engine, Clock clock, EngineClient engines, EndpointAccount account,
			BooleanSupplier leaseHeld, BiConsumer<VmId, PeerMessage> sender) {
		this.engine = engine;
		this.clock = clock;
		this.engines = engines;
		this.account = account;
		this.leaseHeld = leaseHeld;
		this.sender = sender;
	}

	Collection<MemoryHold> holds() {
		return this.holds.values();
	}

	void update(EndpointEntry newer) {
		this.engine = newer;
	}

	/**
	 * Takes in a wish to hold memory, new or repeated.
	 * @param holder who asks
	 * @param id the hold's id
	 * @param kvTokens the memory
	 * @param leaving whether the engine gets no new work
	 */
	void reserve(Incarnation holder, String id, long kvTokens, boolean leaving) {
		long now = this.clock.nanos();
		MemoryHold known = this.holds.get(id);
		if (known != null) {
			repeated(known, now);
			return;
		}
		boolean sized = this.account.report() != null;
		if (sized && kvTokens > this.account.holdable().kvTokens()) {
			refuse(holder, id, Refused.Reason.TOO_LARGE);
		}
		else if (leaving || waiting().size() >= LONGEST_QUEUE) {
			refuse(holder, id, Refused.Reason.BUSY);
		}
		else {
			this.holds.put(id, new MemoryHold(id, holder, kvTokens, MemoryHold.State.WAITING, now));
		}
	}

	/**
	 * Takes in a renewal.
	 * @param holder the holder
	 * @param id the hold's id
	 * @param kvTokens the memory
	 * @return whether the hold is kept
	 */
	boolean renew(Incarnation holder, String id, long kvTokens) {
		long now = this.clock.nanos();
		MemoryHold hold = this.holds.get(id);
		if (hold == null) {
			// A former owner placed it. If the engine doesn't list it, it is dropped at
			// the next comparison and the holder is told.
			hold = new MemoryHold(id, holder, kvTokens, MemoryHold.State.HELD, now);
			this.holds.put(id, hold);
			this.listed = false;
		}
		if (hold.state() == MemoryHold.State.RELEASING) {
			refuse(holder, id, Refused.Reason.LOST);
			return false;
		}
		hold.heard(now);
		return true;
	}

	void release(String id) {
		MemoryHold hold = this.holds.get(id);
		if (hold != null && !hold.occupies()) {
			this.holds.remove(id);
		}
		else if (hold != null) {
			hold.state(MemoryHold.State.RELEASING);
		}
	}

	/**
	 * The engine has restarted and holds nothing any more.
	 */
	void rebooted() {
		for (MemoryHold hold : List.copyOf(this.holds.values())) {
			if (hold.occupies()) {
				lose(hold);
			}
		}
		account();
	}

	/**
	 * Does what is due: ends silent holds, places the one that waits longest, renews and
	 * releases at the engine, and compares the lists.
	 */
	void progress() {
		long now = this.clock.nanos();
		for (MemoryHold hold : List.copyOf(this.holds.values())) {
			endSilent(hold, now);
			renewAtEngine(hold, now);
			releaseAtEngine(hold, now);
		}
		place(now);
		account();
		compare(now);
	}

	private void repeated(MemoryHold hold, long now) {
		hold.heard(now);
		if (hold.state() == MemoryHold.State.HELD) {
			this.sender.accept(hold.holder().vm(), new Reserved(this.engine.name(), hold.id()));
		}
		else if (hold.state() == MemoryHold.State.RELEASING) {
			refuse(hold.holder(), hold.id(), Refused.Reason.LOST);
		}
	}

	private List<MemoryHold> waiting() {
		return this.holds.values().stream().filter((hold) -> !hold.occupies()).toList();
	}

	private void endSilent(MemoryHold hold, long now) {
		long silent = now - hold.heardAt();
		if (silent < HoldTimes.SILENCE.toNanos()) {
			return;
		}
		if (!hold.occupies()) {
			this.holds.remove(hold.id());
		}
		else if (this.leaseHeld.getAsBoolean()) {
			// Without the lease another owner may be hearing the holder, and a release
			// would take the memory from under a running request.
			hold.state(MemoryHold.State.RELEASING);
		}
		else if (silent > HoldTimes.SILENCE.plus(HoldTimes.ENGINE_LIFETIME).toNanos()) {
			this.holds.remove(hold.id());
		}
	}

	private void place(long now) {
		Optional<MemoryHold> head = waiting().stream().findFirst();
		if (head.isEmpty() || this.account.report() == null || now < head.get().deferredUntil()) {
			return;
		}
		MemoryHold hold = head.get();
		Amount needed = needed(hold);
		if (!needed.within(this.account.holdable())) {
			this.holds.remove(hold.id());
			refuse(hold.holder(), hold.id(), Refused.Reason.TOO_LARGE);
		}
		else if (heldAmount().plus(needed).within(this.account.holdable()) && this.account.free(needed, now)) {
			hold.state(MemoryHold.State.PLACING);
			ask(hold, now);
		}
	}

	private void renewAtEngine(MemoryHold hold, long now) {
		boolean heard = now - hold.heardAt() < HoldTimes.SILENCE.toNanos();
		boolean due = now - hold.placedAt() >= HoldTimes.ENGINE_RENEW_PERIOD.toNanos();
		if (hold.state() == MemoryHold.State.HELD && heard && due) {
			ask(hold, now);
		}
		else if (hold.state() == MemoryHold.State.PLACING && now - hold.placedAt() >= CALL_LIMIT) {
			ask(hold, now);
		}
	}

	private void ask(MemoryHold hold, long now) {
		hold.placed(now);
		EngineHold wish = new EngineHold(hold.id(), hold.holder().toString(), hold.kvTokens(),
				HoldTimes.ENGINE_LIFETIME);
		this.engines.hold(this.engine, wish).whenComplete((kept, failure) -> answered(hold, kept, failure));
	}

	private void answered(MemoryHold hold, Boolean kept, Throwable failure) {
		if (failure != null || this.holds.get(hold.id()) != hold || hold.state() == MemoryHold.State.RELEASING) {
			return;
		}
		boolean wasPlacing = hold.state() == MemoryHold.State.PLACING;
		if (Boolean.TRUE.equals(kept)) {
			hold.state(MemoryHold.State.HELD);
			if (wasPlacing) {
				this.sender.accept(hold.holder().vm(), new Reserved(this.engine.name(), hold.id()));
			}
		}
		else if (wasPlacing) {
			hold.state(MemoryHold.State.WAITING);
			hold.deferredUntil(this.clock.nanos() + RETRY);
		}
		else {
			lose(hold);
		}
		account();
	}

	private void releaseAtEngine(MemoryHold hold, long now) {
		if (hold.state() != MemoryHold.State.RELEASING
				|| (hold.calling() && now - hold.placedAt() < HoldTimes.RECONCILE_PERIOD.toNanos())) {
			return;
		}
		hold.calling(true);
		hold.placed(now);
		this.engines.release(this.engine, hold.id()).whenComplete((done, failure) -> {
			if (failure == null) {
				this.holds.remove(hold.id(), hold);
				account();
			}
		});
	}

	private void compare(long now) {
		long period = this.holds.isEmpty() ? HoldTimes.ENGINE_LIFETIME.toNanos() : HoldTimes.RECONCILE_PERIOD.toNanos();
		boolean plainService = this.engine.models().isEmpty();
		if (plainService || (this.listed && now - this.listedAt < period)) {
			return;
		}
		this.listed = true;
		this.listedAt = now;
		this.engines.holds(this.engine).whenComplete((list, failure) -> {
			if (failure == null) {
				compared(list, now);
			}
		});
	}

	private void compared(List<EngineHold> list, long askedAt) {
		Set<String> atEngine = new HashSet<>();
		for (EngineHold held : list) {
			atEngine.add(held.hold());
			if (!this.holds.containsKey(held.hold())) {
				adopt(held);
			}
		}
		for (MemoryHold hold : new ArrayList<>(this.holds.values())) {
			boolean settled = hold.placedAt() - askedAt < 0;
			if (!atEngine.contains(hold.id()) && settled) {
				missing(hold);
			}
		}
		account();
	}

	private void adopt(EngineHold held) {
		// A former owner placed it, or its release was lost. Memory that nobody accounts
		// for would stay lost until the engine drops it; it shows as use in reports that
		// no entry claims. Its holder has the usual time to renew it.
		long now = this.clock.nanos();
		Incarnation holder = Incarnation.parse(held.holder());
		this.holds.put(held.hold(), new MemoryHold(held.hold(), holder, held.kvTokens(), MemoryHold.State.HELD, now));
	}

	private void missing(MemoryHold hold) {
		if (hold.state() == MemoryHold.State.HELD) {
			lose(hold);
		}
		else if (hold.state() == MemoryHold.State.RELEASING) {
			this.holds.remove(hold.id());
		}
	}

	private void lose(MemoryHold hold) {
		logger.infof("Engine %s no longer keeps hold %s", this.engine.name(), hold.id());
		this.holds.remove(hold.id());
		refuse(hold.holder(), hold.id(), Refused.Reason.LOST);
	}

	private void refuse(Incarnation holder, String id, Refused.Reason reason) {
		this.sender.accept(holder.vm(), new Refused(this.engine.name(), id, reason));
	}

	private void account() {
		Amount held = heldAmount();
		Amount wanted = waiting().stream().findFirst().map(HoldBook::needed).orElse(Amount.NONE);
		boolean possible = held.plus(wanted).within(this.account.holdable());
		this.account.hold(held, possible ? wanted : Amount.NONE, this.clock.nanos());
	}

	private Amount heldAmount() {
		Amount sum = Amount.NONE;
		for (MemoryHold hold : this.holds.values()) {
			sum = hold.occupies() ? sum.plus(needed(hold)) : sum;
		}
		return sum;
	}

	private static Amount needed(MemoryHold hold) {
		return new Amount(1, hold.kvTokens());
	}

}
