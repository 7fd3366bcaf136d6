package org.bramleyscale.internal.endpoint.owner;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.bramleyscale.Incarnation;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.Amount;
import org.bramleyscale.internal.endpoint.Demand;
import org.bramleyscale.internal.endpoint.DemandItem;
import org.bramleyscale.internal.endpoint.EngineClient;
import org.bramleyscale.internal.endpoint.Grant;
import org.bramleyscale.internal.endpoint.GrantItem;
import org.bramleyscale.internal.endpoint.GrantedReport;
import org.bramleyscale.internal.endpoint.LoadReport;
import org.bramleyscale.internal.time.Clock;

/**
 * One endpoint with its account, its reports and its leaving mark.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class OwnedEndpoint {

	/** How long a sign of leaving heard from an entry counts without confirmation. */
	private static final long CLAIM_LIFETIME = Duration.ofSeconds(10).toNanos();

	private static final long IN_USE_FOR = Duration.ofSeconds(10).toNanos();

	private static final Duration FRESH_ENOUGH = Duration.ofMillis(250);

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final OwnedShard shard;

	private final Clock clock;

	private final EndpointAccount account;

	private final HoldKeeper holds;

	private final ReportPoller poller;

	private EndpointEntry entry;

	private long claimedAt = NEVER;

	private long leavingSince = NEVER;

	private long usedAt = NEVER;

	OwnedEndpoint(EndpointEntry entry, OwnedShard shard, EndpointAccount account, HoldKeeper holds, Clock clock,
			EngineClient engines) {
		this.entry = entry;
		this.shard = shard;
		this.account = account;
		this.holds = holds;
		this.clock = clock;
		this.poller = new ReportPoller(clock, engines, this::reported);
		this.leavingSince = entry.leaving() ? clock.nanos() : NEVER;
	}

	EndpointEntry entry() {
		return this.entry;
	}

	EndpointAccount account() {
		return this.account;
	}

	ReportPoller poller() {
		return this.poller;
	}

	OwnedShard shard() {
		return this.shard;
	}

	HoldBook holds() {
		return this.holds.book();
	}

	boolean used() {
		return this.clock.nanos() - this.usedAt < IN_USE_FOR || !this.holds.book().holds().isEmpty();
	}

	boolean leaving() {
		return this.leavingSince != NEVER;
	}

	void update(EndpointEntry newer) {
		this.entry = newer;
		this.holds.book().update(newer);
		checkLeaving();
	}

	void poll(Duration period) {
		this.poller.poll(this.entry, period);
	}

	/**
	 * Takes in a demand.
	 * @param from the entry
	 * @param demand the message
	 * @param item the item for this endpoint
	 * @param lifetimeMillis the lifetime of grants to the entry
	 * @return the grant in answer, or null if none is due
	 */
	GrantItem demanded(Incarnation from, Demand demand, DemandItem item, int lifetimeMillis) {
		long now = this.clock.nanos();
		if (item.leaving()) {
			this.claimedAt = now;
			checkLeaving();
		}
		EntryAccount entryAccount = this.account.demanded(from, item, demand.sentMillis(), lifetimeMillis, now);
		if (entryAccount == null) {
			return null;
		}
		if (entryAccount.resigned()) {
			return item(entryAccount, GrantItem.REPORT_ONLY, Amount.NONE);
		}
		if (!used()) {
			// While idle the report is asked for seldom; the first grant carries the old
			// one, and the next a fresh one.
			this.poller.poll(this.entry, FRESH_ENOUGH);
		}
		this.usedAt = now;
		return grant(entryAccount, now);
	}

	/**
	 * Does what is due: looks after the holds, and finds the grants that should go out
	 * unasked.
	 * @return the grants with their receivers
	 */
	List<Push> advance() {
		long now = this.clock.nanos();
		this.holds.progress();
		List<Push> pushes = new ArrayList<>();
		for (EntryAccount receiver : receivers(now)) {
			if (leaving() || receiver.pushes().waitNanos(now) <= 0) {
				receiver.pushes().acted(now, receiver.lifetimeMillis() * 1_000_000L / 2);
				Grant grant = new Grant(receiver.demandSentMillis(), receiver.lifetimeMillis(),
						List.of(grant(receiver, now)));
				pushes.add(new Push(receiver.entry(), grant));
			}
		}
		return pushes;
	}

	private List<EntryAccount> receivers(long now) {
		if (leaving()) {
			// A push that is lost needs no repetition: the entry's next demand is
			// answered
			// with the mark, and an entry never sends demands less often than every 2 s.
			return this.account.entries().all().stream().filter((entry) -> !entry.toldLeaving()).toList();
		}
		return this.account.unbalanced(now);
	}

	private GrantItem grant(EntryAccount receiver, long now) {
		Amount amount = leaving() ? Amount.NONE : this.account.grantable(receiver, now);
		return item(receiver, this.account.granted(receiver, amount, now), amount);
	}

	private GrantItem item(EntryAccount receiver, long number, Amount amount) {
		receiver.toldLeaving(leaving());
		GrantedReport report = null;
		if (this.account.report() != null) {
			int ageMillis = (int) Math.min(Integer.MAX_VALUE, this.poller.age() / 1_000_000);
			report = GrantedReport.of(this.account.report(), ageMillis, receiver.demand().models());
		}
		return new GrantItem(this.entry.name(), this.shard.shard().code(), this.shard.epoch(), number, amount.slots(),
				amount.kvTokens(), leaving(), report, this.account.collection());
	}

	private void reported(LoadReport report) {
		LoadReport former = this.account.report();
		this.account.reported(report);
		if (former != null && former.boot() != report.boot()) {
			this.holds.book().rebooted();
		}
		checkLeaving();
	}

	private void checkLeaving() {
		LoadReport report = this.account.report();
		long now = this.clock.nanos();
		boolean sign = this.entry.leaving() || (report != null && report.leaving())
				|| now - this.claimedAt < CLAIM_LIFETIME;
		if (!sign) {
			this.leavingSince = NEVER;
		}
		else if (this.leavingSince == NEVER) {
			this.leavingSince = now;
		}
	}

	/**
	 * A grant on its way to one entry.
	 *
	 * @param to the entry
	 * @param grant the grant
	 */
	record Push(Incarnation to, Grant grant) {
	}

}
