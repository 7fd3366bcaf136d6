package org.bramleyscale.internal.endpoint.pool;

import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;

import org.bramleyscale.ModelName;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.Amount;
import org.bramleyscale.internal.endpoint.DemandItem;
import org.bramleyscale.internal.endpoint.GrantItem;
import org.bramleyscale.internal.endpoint.GrantedReport;
import org.bramleyscale.internal.endpoint.LoadReport;
import org.bramleyscale.internal.endpoint.OwnerlessShare;
import org.bramleyscale.internal.endpoint.SendBackoff;
import org.bramleyscale.internal.endpoint.Shard;
import org.bramleyscale.internal.routing.Candidate;

/**
 * This entry's state of one endpoint: its grant, requests in flight, latest report and
 * demands.
 *
 * <p>
 * Invariants: no permit is issued beyond the current share; the epoch of the grants
 * applied for a shard never decreases. Confined to the scheduler's thread.
 */
final class EndpointState {

	private static final long IN_USE_FOR = Duration.ofSeconds(10).toNanos();

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final EndpointLearner learner;

	private final HeldShare held;

	private final LocalUse use = new LocalUse();

	private final SendBackoff urgentDemands = new SendBackoff();

	private final UnmetDemand unmet = new UnmetDemand();

	private EndpointEntry entry;

	private Shard shard;

	private LoadReport report;

	private long reportTakenAt;

	private boolean ownerReportsLeaving;

	private VmId owner;

	private long usedAt = NEVER;

	EndpointState(EndpointEntry entry, Shard shard, EndpointLearner learner, Amount floor) {
		this.entry = entry;
		this.shard = shard;
		this.learner = learner;
		this.held = new HeldShare(floor);
	}

	EndpointEntry entry() {
		return this.entry;
	}

	Shard shard() {
		return this.shard;
	}

	EndpointLearner learner() {
		return this.learner;
	}

	LocalUse use() {
		return this.use;
	}

	UnmetDemand unmet() {
		return this.unmet;
	}

	/**
	 * Returns the back-off of demands that are sent outside their period.
	 * @return the back-off
	 */
	SendBackoff urgentDemands() {
		return this.urgentDemands;
	}

	HeldShare held() {
		return this.held;
	}

	LoadReport report() {
		return this.report;
	}

	/**
	 * Returns the daemon whose grant was applied last, or that was announced as owner
	 * since.
	 * @return the owner if one is known
	 */
	Optional<VmId> knownOwner() {
		return Optional.ofNullable(this.owner);
	}

	void knownOwner(VmId vm) {
		this.owner = vm;
	}

	void update(EndpointEntry latest, Shard newShard) {
		this.entry = latest;
		if (!newShard.equals(this.shard)) {
			this.shard = newShard;
			this.held.resetEpoch();
			this.owner = null;
		}
	}

	void markUsed(long now) {
		this.usedAt = now;
	}

	boolean active(long now) {
		return this.use.inUse().slots() > 0 || now - this.usedAt < IN_USE_FOR;
	}

	boolean inUse() {
		return this.use.inUse().slots() > 0;
	}

	boolean idle() {
		return !this.held.granted() && this.use.inUse().slots() == 0;
	}

	boolean leaving() {
		return this.entry.leaving() || this.ownerReportsLeaving;
	}

	boolean offers(ModelName model) {
		if (model == null) {
			return true;
		}
		if (this.report != null && !this.report.models().isEmpty()) {
			return this.report.models().contains(model.value());
		}
		return this.entry.models().contains(model);
	}

	boolean usable(ModelName model, long now) {
		return !leaving() && offers(model) && !this.learner.ejected(now);
	}

	/**
	 * Returns the most that this entry may have in flight at the endpoint.
	 * @param now the time
	 * @param sharing how many entries may use the endpoint
	 * @return the current share
	 */
	Amount share(long now, int sharing) {
		return this.held.amount(now, OwnerlessShare.equalSplit(capacity(), sharing));
	}

	/**
	 * Orders endpoints by the KV tokens, then the slots, that this entry has remaining
	 * there, most first.
	 * @param now the time
	 * @param sharing how many entries may use each endpoint
	 * @return the comparator
	 */
	static Comparator<EndpointState> byRemaining(long now, int sharing) {
		return Comparator.comparingLong((EndpointState state) -> -state.remaining(now, sharing).kvTokens())
			.thenComparingInt((state) -> -state.remaining(now, sharing).slots());
	}

	boolean fitsCapacity(long kvTokens) {
		return this.report == null || kvTokens <= this.report.kvCapacity();
	}

	Amount remaining(long now, int sharing) {
		return share(now, sharing).minus(this.use.inUse()).max(Amount.NONE);
	}

	/**
	 * Applies a grant unless it belongs to another shard or a newer one was already
	 * applied.
	 * @param item the grant
	 * @param from the owner
	 * @param expiresAt when it expires
	 * @param lifetime its lifetime in nanoseconds
	 * @param now the time
	 * @return whether it was applied
	 */
	boolean apply(GrantItem item, VmId from, long expiresAt, long lifetime, long now) {
		if (item.shard() != this.shard.code() || !this.held.apply(item, expiresAt, lifetime, now)) {
			return false;
		}
		this.owner = from;
		this.use.updateCollection(item.collection());
		this.ownerReportsLeaving = item.leaving();
		if (item.report() != null) {
			reportReceived(item.report(), item.leaving(), now);
		}
		return true;
	}

	DemandItem demand(long now) {
		this.held.demandSent(now);
		Amount live = this.held.live(now);
		Amount inUse = this.use.inUse();
		Amount wanted = wanted(now);
		return new DemandItem(this.entry.name(), this.shard.code(), this.held.epoch(), this.held.number(), live.slots(),
				live.kvTokens(), inUse.slots(), inUse.kvTokens(), wanted.slots(), wanted.kvTokens(),
				this.unmet.largestKv(now), leaving(), GrantedReport.modelsHash(this.report), this.use.collection(),
				this.use.kvBeforeCollection());
	}

	Candidate candidate(long now, int sharing) {
		Amount remaining = remaining(now, sharing);
		LoadReport latest = this.report;
		long age = (latest != null) ? Math.max(0, now - this.reportTakenAt) : -1;
		int running = (latest != null) ? latest.running() : 0;
		int waiting = (latest != null) ? latest.waiting() : 0;
		long queued = (latest != null) ? latest.queuedPrefillTokens() : 0;
		long kvUsed = (latest != null) ? latest.kvUsed() : 0;
		Amount capacity = capacity();
		return new Candidate(this.entry.name(), age, running, waiting, capacity.slots(), queued, kvUsed,
				capacity.kvTokens(), this.use.uncoveredPrefillTokens(), this.use.inUse().slots(), remaining.slots(),
				remaining.kvTokens(), this.learner.prefillTokensPerSecond(), this.learner.stepSeconds(),
				this.learner.penaltySeconds(now), this.learner.readmitting(now));
	}

	private Amount capacity() {
		return (this.report != null) ? new Amount(this.report.slots(), this.report.kvCapacity()) : Amount.NONE;
	}

	private Amount wanted(long now) {
		if (!active(now)) {
			return Amount.NONE;
		}
		Amount peak = this.use.peak(now);
		int requests = this.unmet.requests(now);
		int slots = peak.slots() + Math.max(1, peak.slots() / 2) + requests;
		long kv = peak.kvTokens() + peak.kvTokens() / 2 + requests * this.unmet.largestKv(now);
		return new Amount(slots, kv);
	}

	private void reportReceived(GrantedReport granted, boolean leaving, long now) {
		boolean sameBoot = this.report != null && this.report.boot() == granted.boot();
		if (sameBoot && granted.sequence() < this.report.sequence()) {
			return;
		}
		this.report = granted.restore(this.entry.name(), leaving, this.report);
		this.reportTakenAt = now - granted.ageMillis() * 1_000_000L;
		this.use.reportReceived(this.reportTakenAt);
	}

}
