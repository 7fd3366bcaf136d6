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
 * Registry of the memory holds on one engine and of those that wait for memory there.
 *
 * <p>
 * Invariants: only the hold that has waited longest collects memory; a hold counts in the
 * account from before the engine is asked to place it until the engine has confirmed its
 * release. Confined to the scheduler's thread.
 */
final class HoldBook {

	private static final Logger logger = Logger.getLogger(HoldBook.class);

	private static final int MAX_WAITING = 8;

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

	void update(EndpointEntry latest) {
		this.engine = latest;
	}

	/**
	 * Processes a request to hold memory, new or repeated.
	 * @param holder the daemon that asks
	 * @param id the hold's id
	 * @param kvTokens the memory
	 * @param leaving whether the engine gets no new work
	 */
	void reserve(Incarnation holder, String id, long kvTokens, boolean leaving) {
		long now = this.clock.nanos();
		MemoryHold known = this.holds.get(id);
		if (known != null) {
			requestRepeated(known, now);
			return;
		}
		boolean capacityKnown = this.account.report() != null;
		if (capacityKnown && kvTokens > this.account.holdable().kvTokens()) {
			refuse(holder, id, Refused.Reason.TOO_LARGE);
		}
		else if (leaving || waiting().size() >= MAX_WAITING) {
			refuse(holder, id, Refused.Reason.BUSY);
		}
		else {
			this.holds.put(id, new MemoryHold(id, holder, kvTokens, MemoryHold.State.WAITING, now));
		}
	}

	/**
	 * Processes a renewal.
	 * @param holder the holder
	 * @param id the hold's id
	 * @param kvTokens the memory
	 * @return whether the hold is kept
	 */
	boolean renew(Incarnation holder, String id, long kvTokens) {
		long now = this.clock.nanos();
		MemoryHold hold = this.holds.get(id);
		if (hold == null) {
			// A former owner placed the hold. If the engine does not list it, the next
			// reconciliation removes it and notifies the holder.
			hold = new MemoryHold(id, holder, kvTokens, MemoryHold.State.HELD, now);
			this.holds.put(id, hold);
		}
		if (hold.state() == MemoryHold.State.RELEASING) {
			refuse(holder, id, Refused.Reason.LOST);
			return false;
		}
		hold.contacted(now);
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
	 * Removes all placed holds, because the engine has restarted and lost them.
	 */
	void engineRestarted() {
		for (MemoryHold hold : List.copyOf(this.holds.values())) {
			if (hold.occupies()) {
				lost(hold);
			}
		}
		updateAccount();
	}

	/**
	 * Returns the hold that has waited longest, if it can be placed now. A hold that can
	 * never be placed is refused.
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
	 * Registers a hold that was found at the engine but is not registered here. A former
	 * owner placed it, or its release was lost. Unregistered memory would be unusable
	 * until the engine drops the hold; it shows in reports as use that no entry declares.
	 * The holder has the usual time to renew the hold.
	 * @param hold the hold
	 */
	void adopt(MemoryHold hold) {
		this.holds.put(hold.id(), hold);
	}

	void remove(MemoryHold hold) {
		this.holds.remove(hold.id(), hold);
	}

	/**
	 * Removes a hold that the engine no longer keeps and notifies its holder.
	 * @param hold the hold
	 */
	void lost(MemoryHold hold) {
		logger.infof("Engine %s no longer keeps hold %s", this.engine.name(), hold.id());
		remove(hold);
		refuse(hold.holder(), hold.id(), Refused.Reason.LOST);
	}

	/**
	 * Notifies the holder that the engine holds the memory.
	 * @param hold the hold
	 */
	void confirm(MemoryHold hold) {
		this.sender.accept(hold.holder().vm(), new Reserved(this.engine.name(), hold.id()));
	}

	/**
	 * Updates the account with what is held and what is collected.
	 */
	void updateAccount() {
		Amount held = heldAmount();
		Amount wanted = waiting().stream().findFirst().map(HoldBook::needed).orElse(Amount.NONE);
		boolean possible = held.plus(wanted).within(this.account.holdable());
		this.account.hold(held, possible ? wanted : Amount.NONE);
	}

	private void requestRepeated(MemoryHold hold, long now) {
		hold.contacted(now);
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
