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
import org.bramleyscale.internal.endpoint.Pacing;
import org.bramleyscale.internal.endpoint.Shard;
import org.bramleyscale.internal.routing.Candidate;

/**
 * What an entry knows of one endpoint and has there.
 *
 * <p>
 * Invariants: no permit is given beyond the share in force; the epoch of the grants
 * applied for a shard never decreases. Confined to the scheduler's thread.
 */
final class EndpointState {

	private static final long IN_USE_FOR = Duration.ofSeconds(10).toNanos();

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final EndpointLearner learner;

	private final HeldShare held;

	private final OwnUse use = new OwnUse();

	private final Pacing urgent = new Pacing();

	private final UnmetWork unmet = new UnmetWork();

	private EndpointEntry entry;

	private Shard shard;

	private LoadReport report;

	private long reportTakenAt;

	private boolean ownerSaysLeaving;

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

	OwnUse use() {
		return this.use;
	}

	UnmetWork unmet() {
		return this.unmet;
	}

	/**
	 * How demands sent out of their turn are spaced out.
	 * @return the pacing
	 */
	Pacing urgent() {
		return this.urgent;
	}

	HeldShare held() {
		return this.held;
	}

	LoadReport report() {
		return this.report;
	}

	/**
	 * The daemon whose grant was applied last, or that another named as owner.
	 * @return the owner if one is known
	 */
	Optional<VmId> knownOwner() {
		return Optional.ofNullable(this.owner);
	}

	void knownOwner(VmId vm) {
		this.owner = vm;
	}

	void update(EndpointEntry newer, Shard newShard) {
		this.entry = newer;
		if (!newShard.equals(this.shard)) {
			this.shard = newShard;
			this.held.moved();
			this.owner = null;
		}
	}

	void touch(long now) {
		this.usedAt = now;
	}

	boolean active(long now) {
		return this.use.inUse().slots() > 0 || now - this.usedAt < IN_USE_FOR;
	}

	boolean inUse() {
		return this.use.inUse().slots() > 0;
	}

	boolean resigned() {
		return !this.held.granted() && this.use.inUse().slots() == 0;
	}

	boolean leaving() {
		return this.entry.leaving() || this.ownerSaysLeaving;
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
	 * What may be in flight here in all.
	 * @param now the time
	 * @param sharing how many entries may use the endpoint
	 * @return the share in force
	 */
	Amount share(long now, int sharing) {
		return this.held.amount(now, OwnerlessShare.equalSplit(capacity(), sharing));
	}

	/**
	 * Orders endpoints by the KV tokens left here, most first.
	 * @param now the time
	 * @param sharing how many entries may use each endpoint
	 * @return the order
	 */
	static Comparator<EndpointState> byRoom(long now, int sharing) {
		return Comparator.comparingLong((EndpointState state) -> -state.left(now, sharing).kvTokens())
			.thenComparingInt((state) -> -state.left(now, sharing).slots());
	}

	boolean couldEverHold(long kvTokens) {
		return this.report == null || kvTokens <= this.report.kvCapacity();
	}

	Amount left(long now, int sharing) {
		return share(now, sharing).minus(this.use.inUse()).max(Amount.NONE);
	}

	/**
	 * Applies a grant unless a newer one was applied before.
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
		this.use.collecting(item.collection());
		this.ownerSaysLeaving = item.leaving();
		if (item.report() != null) {
			reported(item.report(), item.leaving(), now);
		}
		return true;
	}

	DemandItem demand(long now) {
		this.held.demanded(now);
		Amount live = this.held.live(now);
		Amount inUse = this.use.inUse();
		Amount wanted = wanted(now);
		return new DemandItem(this.entry.name(), this.shard.code(), this.held.epoch(), this.held.number(), live.slots(),
				live.kvTokens(), inUse.slots(), inUse.kvTokens(), wanted.slots(), wanted.kvTokens(),
				this.unmet.largestKv(now), leaving(), GrantedReport.modelsHash(this.report), this.use.collection(),
				this.use.olderKv());
	}

	Candidate candidate(long now, int sharing) {
		Amount left = left(now, sharing);
		LoadReport known = this.report;
		long age = (known != null) ? Math.max(0, now - this.reportTakenAt) : -1;
		int running = (known != null) ? known.running() : 0;
		int waiting = (known != null) ? known.waiting() : 0;
		long queued = (known != null) ? known.queuedPrefillTokens() : 0;
		long kvUsed = (known != null) ? known.kvUsed() : 0;
		Amount capacity = capacity();
		return new Candidate(this.entry.name(), age, running, waiting, capacity.slots(), queued, kvUsed,
				capacity.kvTokens(), this.use.uncoveredPrefillTokens(), this.use.inUse().slots(), left.slots(),
				left.kvTokens(), this.learner.prefillTokensPerSecond(), this.learner.stepSeconds(),
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

	private void reported(GrantedReport granted, boolean leaving, long now) {
		boolean sameBoot = this.report != null && this.report.boot() == granted.boot();
		if (sameBoot && granted.sequence() < this.report.sequence()) {
			return;
		}
		this.report = granted.restore(this.entry.name(), leaving, this.report);
		this.reportTakenAt = now - granted.ageMillis() * 1_000_000L;
		this.use.reported(this.reportTakenAt);
	}

}
