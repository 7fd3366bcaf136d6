package org.bramleyscale.internal.gateway.limit;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

import org.bramleyscale.EndpointId;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.address.RendezvousHash;
import org.bramleyscale.internal.gateway.load.LoadUpdate;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Determines this daemon's shares of cold endpoints, alone and without messages of its
 * own.
 *
 * <p>
 * The first candidates in the order of a hash of the endpoint's id are its holders.
 * Invariants: the share is the smallest by any list of candidates that this daemon had
 * within {@link #HAND_OVER}, so a daemon that becomes a holder waits until the previous
 * one has stopped; a daemon that doesn't hear from more than half of the registered ones,
 * was paused or has just started has no share until that time has passed again. The
 * shares by one list add up to at most half of the bound, so daemons that use two lists
 * together keep it; those that use three keep it while there are at most as many possible
 * candidates as the bound permits requests. Confined to the scheduler's thread.
 */
final class ColdHolders {

	/** The interval between checks of the candidates and of the contact. */
	static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

	/** A longer gap between two checks means that this process was paused. */
	static final Duration MAX_PAUSE = Duration.ofMillis(600);

	/**
	 * The time after which a daemon that lost contact has noticed, in spite of a pause,
	 * and its last requests have left the window.
	 */
	static final Duration HAND_OVER = FleetContact.TIMEOUT.plus(MAX_PAUSE).plus(ColdEndpoints.WINDOW);

	private static final RendezvousHash<VmId> HASH = new RendezvousHash<>(VmId::value);

	private final Scheduler scheduler;

	private final VmId self;

	private final HolderFleet fleet;

	private final BooleanSupplier needed;

	private final FleetContact contact;

	private final Map<List<VmId>, Long> usedAt = new HashMap<>();

	private final Map<Limit, Integer> shares = new HashMap<>();

	private boolean active;

	private int possibleCandidates;

	private long checkedAt;

	private long waitsUntil;

	/**
	 * Creates the holders; {@link #start(PeerNetwork)} begins to follow the fleet.
	 * @param scheduler the daemon's scheduler
	 * @param self this daemon's VM
	 * @param fleet the fleet as this daemon knows it
	 * @param needed whether any endpoint may be limited; without, nothing is computed
	 */
	ColdHolders(Scheduler scheduler, VmId self, HolderFleet fleet, BooleanSupplier needed) {
		this.scheduler = scheduler;
		this.self = self;
		this.fleet = fleet;
		this.contact = new FleetContact(scheduler, fleet);
		this.needed = needed;
	}

	void start(PeerNetwork network) {
		network.listen(LoadUpdate.class, (from, message) -> heard(from.vm()));
		this.scheduler.repeat(CHECK_INTERVAL, this::check);
	}

	private void heard(VmId vm) {
		if (this.active) {
			this.contact.heard(vm);
		}
	}

	private void check() {
		this.shares.clear();
		boolean wasActive = this.active;
		this.active = this.needed.getAsBoolean();
		if (!this.active) {
			this.contact.forgetAll();
			this.usedAt.clear();
			return;
		}
		long now = this.scheduler.nanos();
		if (!wasActive || paused(now) || !this.contact.withMajority()) {
			this.waitsUntil = now + HAND_OVER.toNanos();
		}
		this.checkedAt = now;
		this.possibleCandidates = this.fleet.possibleCandidates();
		this.usedAt.values().removeIf((at) -> now - at > HAND_OVER.toNanos());
		this.usedAt.put(List.copyOf(this.fleet.candidates()), now);
	}

	private boolean paused(long now) {
		return now - this.checkedAt > MAX_PAUSE.toNanos();
	}

	/**
	 * This daemon's share of the requests that an endpoint may receive.
	 * @param endpoint the endpoint
	 * @param division the requests that the holders of one list divide
	 * @return the requests that this daemon may send in any window, 0 if it isn't a
	 * holder
	 */
	int share(EndpointId endpoint, ColdBounds.Division division) {
		long now = this.scheduler.nanos();
		if (!this.active || paused(now) || now - this.waitsUntil < 0) {
			return 0;
		}
		return this.shares.computeIfAbsent(new Limit(endpoint, division), this::smallestShare);
	}

	private int smallestShare(Limit limit) {
		return this.usedAt.keySet().stream().mapToInt((candidates) -> {
			ColdBounds.Shares shares = limit.requests().among(candidates.size(), this.possibleCandidates);
			boolean holder = HASH.first(limit.endpoint().value(), candidates, shares.holders()).contains(this.self);
			return holder ? shares.requests() : 0;
		}).min().orElse(0);
	}

	/**
	 * The requests that the holders of an endpoint divide.
	 *
	 * @param endpoint the endpoint
	 * @param requests the number of requests
	 */
	private record Limit(EndpointId endpoint, ColdBounds.Division requests) {
	}

}
