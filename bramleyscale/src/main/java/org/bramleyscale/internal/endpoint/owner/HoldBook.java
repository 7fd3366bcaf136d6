package org.bramleyscale.internal.endpoint.owner;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.Amount;
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

	private final Clock clock;

	private final EndpointAccount account;

	private final BiConsumer<VmId, PeerMessage> sender;

	private final Map<String, MemoryHold> holds = new LinkedHashMap<>();

	private EndpointEntry engine;

	HoldBook(EndpointEntry engine, Clock clock, EndpointAccount account, BiConsumer<VmId, PeerMessage> sender) {
		this.engine = engine;
		this.clock = clock;
		this.account = account;
		this.sender = sender;
	}

	EndpointEntry engine() {
		return this.engine;
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
	 * The hold that has waited longest, if it can be placed now. One that never can be is
	 * refused.
	 * @return the hold
	 */
	Optional<MemoryHold> placeable() {
		long now = this.clock.nanos();
		Optional<MemoryHold> head = waiting().stream().findFirst();
		if (head.isEmpty() || this.account.report() == null || now < head.get().deferredUntil()) {
			return Optional.empty();
		}
		Amount needed = needed(head.get());
		if (!needed.within(this.account.holdable())) {
			this.holds.remove(head.get().id());
			refuse(head.get().holder(), head.get().id(), Refused.Reason.TOO_LARGE);
			return Optional.empty();
		}
		boolean possible = heldAmount().plus(needed).within(this.account.holdable());
		return head.filter((hold) -> possible && this.account.free(needed, now));
	}

	Optional<MemoryHold> find(String id) {
		return Optional.ofNullable(this.holds.get(id));
	}

	/**
	 * Takes in a hold found at the engine that isn't in the book. A former owner placed
	 * it, or its release was lost. Memory that nobody accounts for would stay lost until
	 * the engine drops it; it shows as use in reports that no entry claims. Its holder
	 * has the usual time to renew it.
	 * @param hold the hold
	 */
	void adopt(MemoryHold hold) {
		this.holds.put(hold.id(), hold);
	}

	void remove(MemoryHold hold) {
		this.holds.remove(hold.id(), hold);
	}

	/**
	 * Removes a hold that the engine no longer keeps, and tells its holder.
	 * @param hold the hold
	 */
	void lose(MemoryHold hold) {
		logger.infof("Engine %s no longer keeps hold %s", this.engine.name(), hold.id());
		remove(hold);
		refuse(hold.holder(), hold.id(), Refused.Reason.LOST);
	}

	/**
	 * Tells the holder that the engine keeps the memory.
	 * @param hold the hold
	 */
	void confirm(MemoryHold hold) {
		this.sender.accept(hold.holder().vm(), new Reserved(this.engine.name(), hold.id()));
	}

	/**
	 * Enters what is held and what is collected in the account.
	 */
	void account() {
		Amount held = heldAmount();
		Amount wanted = waiting().stream().findFirst().map(HoldBook::needed).orElse(Amount.NONE);
		boolean possible = held.plus(wanted).within(this.account.holdable());
		this.account.hold(held, possible ? wanted : Amount.NONE);
	}

	private void repeated(MemoryHold hold, long now) {
		hold.heard(now);
		if (hold.state() == MemoryHold.State.HELD) {
			confirm(hold);
		}
		else if (hold.state() == MemoryHold.State.RELEASING) {
			refuse(hold.holder(), hold.id(), Refused.Reason.LOST);
		}
	}

	private List<MemoryHold> waiting() {
		return this.holds.values().stream().filter((hold) -> !hold.occupies()).toList();
	}

	private void refuse(Incarnation holder, String id, Refused.Reason reason) {
		this.sender.accept(holder.vm(), new Refused(this.engine.name(), id, reason));
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
