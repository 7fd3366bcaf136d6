package org.bramleyscale.internal.endpoint.owner;

import java.util.ArrayList;
import java.util.List;

import com.google.common.truth.Truth;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.Size;
import org.bramleyscale.EndpointId;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.endpoint.Amount;
import org.bramleyscale.internal.endpoint.DemandItem;
import org.bramleyscale.internal.endpoint.LoadReport;
import org.bramleyscale.internal.endpoint.OwnerlessShare;

/**
 * Checks the invariant of {@link EndpointAccount} under random demands, lost or late
 * messages, expired grants, failed entries and holds.
 */
class EndpointAccountTests {

	private static final Amount CAPACITY = new Amount(12, 100_000);

	private static final Amount FLOOR = new Amount(1, 1_000);

	private static final int ENTRIES = 4;

	private static final int LIFETIME_MILLIS = 2_000;

	// All tries run on one instance, so each try resets these fields.

	private EndpointAccount account;

	private final List<Entry> entries = new ArrayList<>();

	private Amount held;

	private Amount collecting;

	private long now;

	@Property(tries = 500, seed = "42")
	void grantsAndUseStayWithinTheCapacity(@ForAll @Size(min = 100, max = 200) List<@From("actions") Action> actions) {
		reset();
		for (Action action : actions) {
			perform(action);
			checkInvariant();
		}
	}

	private void reset() {
		this.account = new EndpointAccount(1, FLOOR, Long.MIN_VALUE);
		this.entries.clear();
		this.held = Amount.NONE;
		this.collecting = Amount.NONE;
		this.now = 0;
		this.account.members(ENTRIES, ENTRIES);
		this.account.reportReceived(report());
		for (int i = 0; i < ENTRIES; i++) {
			this.entries.add(new Entry(i));
		}
	}

	private void checkInvariant() {
		Amount live = this.account.live(this.now).plus(this.held);
		Truth.assertWithMessage("live grants and holds %s", live).that(live.within(CAPACITY)).isTrue();
		Amount floors = new Amount(cutOff(), cutOff() * FLOOR.kvTokens());
		Amount used = used().plus(this.held);
		Truth.assertWithMessage("use %s, floors %s", used, floors).that(used.within(CAPACITY.plus(floors))).isTrue();
	}

	@Provide
	Arbitrary<Action> actions() {
		return Combinators
			.combine(Arbitraries.of(Kind.class), Arbitraries.integers().between(0, ENTRIES - 1),
					Arbitraries.integers().between(0, 20), Arbitraries.longs().between(0, 120_000))
			.as(Action::new);
	}

	private void perform(Action action) {
		Entry entry = this.entries.get(action.entry);
		switch (action.kind) {
			case DEMAND -> entry.receive(entry.demand(action));
			case DEMAND_WITH_ANSWER_DELAYED -> entry.delay(entry.demand(action));
			case PUSH -> push();
			case ACQUIRE -> entry.acquire(action.size, action.kvTokens / 4);
			case ACQUIRE_ALL -> entry.acquireAll();
			case ANSWER_ARRIVES_LATE -> entry.receiveDelayed();
			case FINISH -> entry.finish();
			case TIME_PASSES -> advanceTime(action.size * 200_000_000L);
			case COLLECT -> hold(this.held, new Amount(1, Math.min(action.kvTokens, 80_000)));
			case PLACE -> place();
			case RELEASE -> hold(Amount.NONE, this.collecting);
			case REPORT -> this.account.reportReceived(report());
			default -> restart(action.entry);
		}
	}

	private void advanceTime(long nanos) {
		this.now += nanos;
	}

	private void push() {
		for (EntryAccount account : this.account.unbalanced(this.now)) {
			int index = Integer.parseInt(account.entry().vm().value().substring(1));
			Amount amount = this.account.grantable(account, this.now);
			long number = this.account.grantSent(account, amount, this.now);
			this.entries.get(index).receive(new Received(number, amount, account.demandSentMillis()));
		}
	}

	private void hold(Amount nowHeld, Amount nowCollecting) {
		this.held = nowHeld;
		this.collecting = nowCollecting;
		this.account.hold(nowHeld, nowCollecting);
	}

	private void place() {
		boolean allowed = this.held.plus(this.collecting).within(this.account.holdable());
		if (allowed && this.account.free(this.collecting, this.now)) {
			hold(this.held.plus(this.collecting), Amount.NONE);
		}
	}

	private void restart(int index) {
		Entry failed = this.entries.get(index);
		this.account.entries().removeFailed(failed.incarnation.vm(), this.now);
		if (this.account.entries().all().stream().noneMatch((each) -> each.entry().equals(failed.incarnation))) {
			this.entries.set(index, new Entry(index, failed.incarnation.start() + 1));
		}
	}

	private LoadReport report() {
		Amount sum = used().plus(this.held);
		return new LoadReport(new EndpointId("e"), 1, 1, sum.slots(), 0, CAPACITY.slots(), 0, sum.kvTokens(),
				CAPACITY.kvTokens(), false, List.of());
	}

	private Amount used() {
		return this.entries.stream().map((entry) -> entry.inUse).reduce(Amount.NONE, Amount::plus);
	}

	private int cutOff() {
		return (int) this.entries.stream().filter((entry) -> entry.usedFloor).count();
	}

	enum Kind {

		DEMAND, DEMAND_WITH_ANSWER_DELAYED, ANSWER_ARRIVES_LATE, PUSH, ACQUIRE, ACQUIRE_ALL, FINISH, TIME_PASSES,
		COLLECT, PLACE, RELEASE, REPORT, RESTART

	}

	record Action(Kind kind, int entry, int size, long kvTokens) {
	}

	record Received(long number, Amount amount, long sentMillis) {
	}

	private final class Entry {

		private final Incarnation incarnation;

		private Amount inUse = Amount.NONE;

		private Received grant;

		private Received delayed;

		private boolean usedFloor;

		private Entry(int index) {
			this(index, 1);
		}

		private Entry(int index, long start) {
			this.incarnation = new Incarnation(new VmId("v" + index), start);
		}

		private Received demand(Action action) {
			long sentMillis = now() / 1_000_000;
			Amount heldNow = live() ? this.grant.amount : Amount.NONE;
			long number = (this.grant != null) ? this.grant.number : 0;
			DemandItem item = new DemandItem(new EndpointId("e"), 1, 1, number, heldNow.slots(), heldNow.kvTokens(),
					this.inUse.slots(), this.inUse.kvTokens(), 1 + action.size, action.kvTokens, action.kvTokens / 3,
					false, 0, 0, 0);
			EntryAccount entryAccount = EndpointAccountTests.this.account.demandReceived(this.incarnation, item,
					sentMillis, LIFETIME_MILLIS, now());
			Amount amount = EndpointAccountTests.this.account.grantable(entryAccount, now());
			long granted = EndpointAccountTests.this.account.grantSent(entryAccount, amount, now());
			return new Received(granted, amount, sentMillis);
		}

		private void receive(Received received) {
			if (this.grant == null || received.number > this.grant.number) {
				this.grant = received;
			}
		}

		private void delay(Received answer) {
			this.delayed = answer;
		}

		private void receiveDelayed() {
			if (this.delayed != null) {
				receive(this.delayed);
			}
		}

		private void acquireAll() {
			Amount left = share().minus(this.inUse);
			acquire(Math.max(0, left.slots()), Math.max(0, left.kvTokens()));
		}

		private void acquire(int slots, long kvTokens) {
			Amount more = this.inUse.plus(new Amount(slots, kvTokens));
			if (more.within(share())) {
				this.inUse = more;
				this.usedFloor |= this.grant != null && !live();
			}
		}

		private void finish() {
			this.inUse = Amount.NONE;
			this.usedFloor = false;
		}

		private Amount share() {
			if (this.grant == null) {
				return Amount.NONE;
			}
			if (live()) {
				return this.grant.amount;
			}
			Amount equal = OwnerlessShare.equalSplit(CAPACITY, ENTRIES);
			return OwnerlessShare.of(this.grant.amount, equal, FLOOR, now() - expiresAt(),
					LIFETIME_MILLIS * 1_000_000L);
		}

		private boolean live() {
			return this.grant != null && now() < expiresAt();
		}

		private long expiresAt() {
			return (this.grant.sentMillis + LIFETIME_MILLIS) * 1_000_000L;
		}

		private long now() {
			return EndpointAccountTests.this.now;
		}

	}

}
