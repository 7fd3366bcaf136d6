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
 * An endpoint that this daemon owns, with its account, reports, holds and leaving state.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class OwnedEndpoint {

	/**
	 * How long an entry's claim that the endpoint is leaving counts without confirmation.
	 */
	private static final long LEAVING_CLAIM_LIFETIME = Duration.ofSeconds(10).toNanos();

	private static final long IN_USE_FOR = Duration.ofSeconds(10).toNanos();

	private static final Duration FRESH_REPORT_PERIOD = Duration.ofMillis(250);

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final OwnedShard shard;

	private final Clock clock;

	private final EndpointAccount account;

	private final HoldReconciler reconciler;

	private final ReportPoller poller;

	private EndpointEntry entry;

	private long leavingClaimedAt = NEVER;

	private long leavingSince = NEVER;

	private long usedAt = NEVER;

	OwnedEndpoint(EndpointEntry entry, OwnedShard shard, EndpointAccount account, HoldReconciler reconciler,
			Clock clock, EngineClient engines) {
		this.entry = entry;
		this.shard = shard;
		this.account = account;
		this.reconciler = reconciler;
		this.clock = clock;
		this.poller = new ReportPoller(clock, engines, this::reportReceived);
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
		return this.reconciler.registry();
	}

	boolean used() {
		return this.clock.nanos() - this.usedAt < IN_USE_FOR || !this.reconciler.registry().holds().isEmpty();
	}

	boolean leaving() {
		return this.leavingSince != NEVER;
	}

	void update(EndpointEntry latest) {
		this.entry = latest;
		this.reconciler.registry().update(latest);
		checkLeaving();
	}

	void poll(Duration period) {
		this.poller.poll(this.entry, period);
	}

	/**
	 * Processes a demand.
	 * @param from the entry
	 * @param demand the message
	 * @param item the item for this endpoint
	 * @param lifetimeMillis the lifetime of grants to the entry
	 * @return the grant in answer, or null if none is due
	 */
	GrantItem demandReceived(Incarnation from, Demand demand, DemandItem item, int lifetimeMillis) {
		long now = this.clock.nanos();
		if (item.leaving()) {
			this.leavingClaimedAt = now;
			checkLeaving();
		}
		EntryAccount entryAccount = this.account.demandReceived(from, item, demand.sentMillis(), lifetimeMillis, now);
		if (entryAccount == null) {
			return null;
		}
		if (entryAccount.idle()) {
			return item(entryAccount, GrantItem.REPORT_ONLY, Amount.NONE);
		}
		if (!used()) {
			// An idle endpoint is polled rarely, so the first grant carries an old report
			// and the next one a fresh report.
			this.poller.poll(this.entry, FRESH_REPORT_PERIOD);
		}
		this.usedAt = now;
		return grant(entryAccount, now);
	}

	/**
	 * Performs the work that is due on the holds and determines the grants to push
	 * without a demand.
	 * @return the grants with their recipients
	 */
	List<Push> advance() {
		long now = this.clock.nanos();
		this.reconciler.progress();
		List<Push> pushes = new ArrayList<>();
		for (EntryAccount recipient : recipients(now)) {
			if (leaving() || recipient.pushes().waitNanos(now) <= 0) {
				recipient.pushes().recordSend(now, recipient.lifetimeMillis() * 1_000_000L / 2);
				Grant grant = new Grant(recipient.demandSentMillis(), recipient.lifetimeMillis(),
						List.of(grant(recipient, now)));
				pushes.add(new Push(recipient.entry(), grant));
			}
		}
		return pushes;
	}

	private List<EntryAccount> recipients(long now) {
		if (leaving()) {
			// A lost push need not be repeated: the answer to the entry's next demand
			// says that the endpoint is leaving, and an entry sends a demand at least
			// every 2 s.
			return this.account.entries().all().stream().filter((entry) -> !entry.leavingSent()).toList();
		}
		return this.account.unbalanced(now);
	}

	private GrantItem grant(EntryAccount recipient, long now) {
		Amount amount = leaving() ? Amount.NONE : this.account.grantable(recipient, now);
		return item(recipient, this.account.grantSent(recipient, amount, now), amount);
	}

	private GrantItem item(EntryAccount recipient, long number, Amount amount) {
		recipient.leavingSent(leaving());
		GrantedReport report = null;
		if (this.account.report() != null) {
			int ageMillis = (int) Math.min(Integer.MAX_VALUE, this.poller.age() / 1_000_000);
			report = GrantedReport.of(this.account.report(), ageMillis, recipient.demand().models());
		}
		return new GrantItem(this.entry.name(), this.shard.shard().code(), this.shard.epoch(), number, amount.slots(),
				amount.kvTokens(), leaving(), report, this.account.collection());
	}

	private void reportReceived(LoadReport report) {
		LoadReport previous = this.account.report();
		this.account.reportReceived(report);
		if (previous != null && previous.boot() != report.boot()) {
			this.reconciler.registry().engineRestarted();
		}
		checkLeaving();
	}

	private void checkLeaving() {
		LoadReport report = this.account.report();
		long now = this.clock.nanos();
		boolean indicated = this.entry.leaving() || (report != null && report.leaving())
				|| now - this.leavingClaimedAt < LEAVING_CLAIM_LIFETIME;
		if (!indicated) {
			this.leavingSince = NEVER;
		}
		else if (this.leavingSince == NEVER) {
			this.leavingSince = now;
		}
	}

	/**
	 * A grant to be pushed to one entry.
	 *
	 * @param to the recipient
	 * @param grant the grant
	 */
	record Push(Incarnation to, Grant grant) {
	}

}
