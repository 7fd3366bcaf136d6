package org.bramleyscale.internal.gateway.retry;

import java.time.Duration;

import org.bramleyscale.VmId;
import org.bramleyscale.internal.gateway.limit.FleetContact;
import org.bramleyscale.internal.gateway.limit.HolderFleet;
import org.bramleyscale.internal.gateway.load.LoadUpdate;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Divides the constant of a retry budget among the daemons that callers use, alone and
 * without messages of its own. Each daemon keeps one retry of it, if there are enough,
 * and those that callers use share the rest equally.
 *
 * <p>
 * Invariants: the constant is divided by the largest numbers of daemons that this one
 * knew of in the last {@link #holdTime}, so a part that another has given up is used only
 * once its retries have left the window, while a part that another is about to use is
 * given up at once. A daemon that has just started, wasn't among those that callers use,
 * or hasn't heard from more than half of the registered ones within {@link #TERM} has
 * only its one retry, so nobody else's part depends on what it knows. Confined to the
 * scheduler's thread.
 */
public final class FleetConstantShare implements ConstantShare {

	/** The interval between checks of the fleet. */
	static final Duration CHECK_INTERVAL = Duration.ofMillis(200);

	/**
	 * How long a daemon uses its share after it last heard from most others. Restarts of
	 * many daemons are shorter.
	 */
	static final Duration TERM = Duration.ofSeconds(3);

	/** The time within which connected daemons learn of a new member. */
	private static final Duration PROPAGATION_TIME = Duration.ofSeconds(2);

	/** A longer gap between two checks means that this process was paused. */
	private static final Duration MAX_PAUSE = Duration.ofMillis(500);

	/** The time in which requests are read that waited during a pause. */
	private static final Duration BACKLOG_TIME = Duration.ofMillis(300);

	private final Scheduler scheduler;

	private final VmId self;

	private final HolderFleet fleet;

	private final FleetContact contact;

	private final double constant;

	private final Duration holdTime;

	private final RecentMaximum known;

	private final RecentMaximum candidates;

	private long heldBackUntil;

	private long contactUntil;

	private long checkedAt;

	private long resumedAt;

	/**
	 * Creates the share of a daemon that starts now; {@link #start(PeerNetwork)} begins
	 * to follow the fleet.
	 * @param scheduler the daemon's scheduler
	 * @param self this daemon's VM
	 * @param fleet the fleet as this daemon knows it
	 * @param constant the retries of all daemons beyond the ratio, in any window
	 * @param window the length of the window
	 */
	public FleetConstantShare(Scheduler scheduler, VmId self, HolderFleet fleet, double constant, Duration window) {
		this.scheduler = scheduler;
		this.self = self;
		this.fleet = fleet;
		this.contact = new FleetContact(scheduler, fleet);
		this.constant = constant;
		this.holdTime = window.plus(TERM).plus(PROPAGATION_TIME);
		this.known = new RecentMaximum(this.holdTime);
		this.candidates = new RecentMaximum(this.holdTime);
		this.checkedAt = scheduler.nanos();
		this.contactUntil = this.checkedAt;
		this.resumedAt = this.checkedAt - BACKLOG_TIME.toNanos();
		holdBack(this.checkedAt);
	}

	/**
	 * Starts to follow the fleet.
	 * @param network the connections to peers
	 */
	public void start(PeerNetwork network) {
		network.listen(LoadUpdate.class, (from, message) -> heard(from.vm()));
		this.scheduler.repeat(CHECK_INTERVAL, this::check);
	}

	void heard(VmId vm) {
		this.contact.heard(vm);
	}

	void check() {
		long now = this.scheduler.nanos();
		if (paused(now)) {
			this.resumedAt = now;
		}
		this.checkedAt = now;
		this.candidates.observe(this.fleet.possibleCandidates(), now);
		this.known.observe(this.fleet.known(), now);
		if (!this.fleet.candidates().contains(this.self)) {
			holdBack(now);
		}
		if (this.contact.withMajority()) {
			this.contactUntil = now + TERM.toNanos();
		}
	}

	@Override
	public double retries() {
		int daemons = Math.max(1, this.known.value());
		int reserve = (2 * daemons <= this.constant) ? 1 : 0;
		long now = this.scheduler.nanos();
		if (now - this.heldBackUntil < 0 || now - this.contactUntil >= 0) {
			return reserve;
		}
		return reserve + (this.constant - reserve * daemons) / Math.max(1, this.candidates.value());
	}

	@Override
	public boolean requestsCount() {
		long now = this.scheduler.nanos();
		return !paused(now) && now - this.resumedAt >= BACKLOG_TIME.toNanos();
	}

	private boolean paused(long now) {
		return now - this.checkedAt > MAX_PAUSE.toNanos();
	}

	private void holdBack(long now) {
		this.heldBackUntil = now + this.holdTime.toNanos();
	}

}
