package org.bramleyscale.internal.gateway.evacuation;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;

import org.bramleyscale.DataCentre;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.eligibility.EndpointRule;
import org.bramleyscale.internal.gateway.eligibility.RequestScope;
import org.bramleyscale.internal.gateway.follow.ObjectCopies;
import org.bramleyscale.internal.gateway.follow.ObjectCopy;
import org.bramleyscale.internal.gateway.follow.StoreFollower;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.platform.StoreRevision;
import org.bramleyscale.internal.time.Scheduler;

/**
 * The data centres whose endpoints are sent nothing new, as the operator requests by
 * objects in the platform's store.
 *
 * <p>
 * The existence of an object requests the evacuation, whatever its content. Invariants:
 * no endpoint is permitted before the evacuations are known, that is, before a state of
 * them is known that the store confirmed recently or, if the store is unavailable to this
 * daemon, any state. They count as unknown again after the process has been suspended for
 * longer than the last confirmation lasts, until the next confirmation or until the store
 * has been unavailable for longer than this daemon alone can be cut off from it. In all
 * other cases the last known state remains in force, also while the store is unavailable.
 * Confined to the scheduler's thread. <pre>
 * EvacuatedDataCentres evacuated = new EvacuatedDataCentres(scheduler, limit, longestPartition, backends::all, log);
 * evacuated.follow(followerOf(evacuated.copies()));
 * evacuated.start();
 * </pre>
 */
public final class EvacuatedDataCentres implements EndpointRule {

	/** The interval between checks whether the process was suspended. */
	static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

	/** A process without a check for this long was suspended. */
	static final Duration SUSPENDED_AFTER = Duration.ofSeconds(1);

	/**
	 * How long an evacuation stays in force that is missing after the store has come back
	 * from an older copy. The operator requests it again within this time.
	 */
	static final Duration REQUESTED_AGAIN_WITHIN = Duration.ofSeconds(2);

	/** The end of an evacuation isn't known; callers may ask again after this. */
	private static final Duration EVACUATION_RETRY_DELAY = Duration.ofSeconds(1);

	/** Evacuations are usually known within this time after a start. */
	private static final Duration UNKNOWN_RETRY_DELAY = Duration.ofMillis(100);

	/** The most endpoints in a line of the log. */
	private static final int MAX_LOGGED = 32;

	private final Scheduler scheduler;

	private final Duration maxAge;

	private final Duration longestPartition;

	private final Supplier<Collection<Backend>> endpoints;

	private final DecisionLog log;

	private final ObjectCopies copies = ObjectCopies.exact(this::changed);

	private final Set<DataCentre> inForce = new TreeSet<>(Comparator.comparing(DataCentre::value));

	private final Map<DataCentre, Long> requestedAt = new HashMap<>();

	private StoreFollower follower;

	private boolean known;

	private boolean suspended;

	private long unknownSince;

	private long resumedAt;

	private long lastCheckAt;

	/**
	 * Creates the state of a daemon that doesn't know the evacuations yet.
	 * @param scheduler the daemon's scheduler
	 * @param limit the time within which an evacuation must be in force
	 * @param longestPartition the longest time for which the platform cuts single daemons
	 * off from the store; a store that is unavailable for longer is unavailable to all
	 * @param endpoints the known endpoints, for the log
	 * @param log takes a line for each evacuation that begins or ends, and when they
	 * become known or unknown
	 */
	public EvacuatedDataCentres(Scheduler scheduler, Duration limit, Duration longestPartition,
			Supplier<Collection<Backend>> endpoints, DecisionLog log) {
		this.scheduler = scheduler;
		// Followers check copies after half of the limit, and up to 0.8 s later by their
		// rank. The last quarter is for a call that the store doesn't answer.
		this.maxAge = limit.multipliedBy(3).dividedBy(4);
		this.longestPartition = longestPartition;
		this.endpoints = endpoints;
		this.log = log;
		this.lastCheckAt = scheduler.nanos();
		this.unknownSince = this.lastCheckAt;
	}

	/**
	 * The copies of the objects that request evacuations.
	 * @return the copies, updated by the follower and by peers
	 */
	public ObjectCopies copies() {
		return this.copies;
	}

	/**
	 * Sets the follower of the objects; called once, before the start.
	 * @param newFollower updates the copies
	 */
	public void follow(StoreFollower newFollower) {
		this.follower = newFollower;
	}

	/**
	 * Starts the follower and the checks whether the process was suspended.
	 */
	public void start() {
		this.lastCheckAt = this.scheduler.nanos();
		this.unknownSince = this.lastCheckAt;
		this.follower.start();
		this.scheduler.repeat(CHECK_INTERVAL, this::known);
	}

	/**
	 * Whether it is known which data centres are evacuated.
	 * @return false for a short time after a start and after the process was suspended
	 */
	public boolean known() {
		long now = this.scheduler.nanos();
		long previous = this.lastCheckAt;
		this.lastCheckAt = now;
		if (now - previous > SUSPENDED_AFTER.toNanos() && !confirmed(now)) {
			resumed(now, previous);
		}
		if (!this.known && this.copies.listed()) {
			if (confirmed(now)) {
				setKnown(true, "confirmed by the store");
			}
			else if (this.follower.failedSince(this.unknownSince) && !mayBePartitioned(now)) {
				setKnown(true, "store unavailable, last known state");
			}
		}
		return this.known;
	}

	private void resumed(long now, long previous) {
		// The process ran for at most one interval after the previous check, so a call
		// that was started later than this was started after the suspension.
		this.unknownSince = previous + SUSPENDED_AFTER.toNanos();
		this.suspended = true;
		this.resumedAt = now;
		if (this.known) {
			setKnown(false, "process was suspended");
		}
		this.follower.confirmNow();
	}

	/**
	 * Whether the store may answer other daemons while this one, whose state is as old as
	 * its suspension, can't read it. A daemon that has just started uses the state of its
	 * peers instead.
	 * @param now the time
	 * @return true if the own state must not be used yet
	 */
	private boolean mayBePartitioned(long now) {
		return this.suspended && now - this.resumedAt < this.longestPartition.toNanos();
	}

	private boolean confirmed(long now) {
		return now - this.copies.confirmedAt() <= this.maxAge.toNanos();
	}

	private void setKnown(boolean nowKnown, String reason) {
		this.known = nowKnown;
		this.log.belief("evacuations", this.inForce.toString(), "known", nowKnown, "reason", reason, "revision",
				StoreRevision.text(this.copies.complete()));
	}

	/**
	 * Whether a data centre is evacuated.
	 * @param dataCentre the data centre
	 * @return true if its evacuation is in force, as far as known
	 */
	public boolean isEvacuated(DataCentre dataCentre) {
		return this.inForce.contains(dataCentre);
	}

	/**
	 * The number of evacuated data centres.
	 * @return the number, as far as known
	 */
	public int count() {
		return this.inForce.size();
	}

	/**
	 * Returns the state for operators.
	 * @return the fields and their values
	 */
	public Map<String, Object> dump() {
		Map<String, Object> state = new LinkedHashMap<>();
		state.put("known", known());
		state.put("inForce", this.inForce.stream().map(DataCentre::value).toList());
		state.put("revision", StoreRevision.text(this.copies.complete()));
		return state;
	}

	@Override
	public Duration blockedFor(Backend endpoint, RequestScope scope) {
		if (!known()) {
			return UNKNOWN_RETRY_DELAY;
		}
		return isEvacuated(endpoint.dataCentre()) ? EVACUATION_RETRY_DELAY : Duration.ZERO;
	}

	@Override
	public boolean withdraws(Backend endpoint) {
		return !known() || isEvacuated(endpoint.dataCentre());
	}

	@Override
	public boolean leavesLanes(Backend endpoint) {
		return isEvacuated(endpoint.dataCentre());
	}

	@Override
	public String reason() {
		return this.known ? "all endpoints evacuated" : "evacuations not known yet";
	}

	private void changed(ObjectCopy object) {
		DataCentre dataCentre;
		try {
			dataCentre = new DataCentre(object.name());
		}
		catch (IllegalArgumentException ex) {
			// No endpoint runs in a data centre of this name.
			this.log.belief("evacuation", object.name(), "in_force", false, "reason", ex.getMessage());
			return;
		}
		boolean evacuated = !object.deleted();
		if (evacuated) {
			this.requestedAt.put(dataCentre, object.revision());
		}
		else if (isLost(dataCentre, object)) {
			this.scheduler.schedule(REQUESTED_AGAIN_WITHIN, () -> endUnlessRequestedAgain(dataCentre, object));
			return;
		}
		setInForce(dataCentre, evacuated, object);
	}

	/**
	 * Whether an object is missing only because the store has come back from a copy that
	 * was made before it.
	 * @param dataCentre the data centre
	 * @param deletion the tombstone
	 * @return true if the evacuation was requested in an earlier era
	 */
	private boolean isLost(DataCentre dataCentre, ObjectCopy deletion) {
		Long known = this.requestedAt.get(dataCentre);
		return known != null && StoreRevision.isOfEarlierEra(known, deletion.revision());
	}

	private void endUnlessRequestedAgain(DataCentre dataCentre, ObjectCopy deletion) {
		if (isLost(dataCentre, deletion)) {
			setInForce(dataCentre, false, deletion);
		}
	}

	private void setInForce(DataCentre dataCentre, boolean evacuated, ObjectCopy object) {
		if (evacuated ? this.inForce.add(dataCentre) : this.inForce.remove(dataCentre)) {
			List<String> affected = this.endpoints.get()
				.stream()
				.filter((endpoint) -> endpoint.dataCentre().equals(dataCentre))
				.map((endpoint) -> endpoint.id().value())
				.sorted()
				.toList();
			this.log.belief("evacuation", dataCentre, "in_force", evacuated, "revision",
					StoreRevision.text(object.revision()), "count", affected.size(), "endpoints",
					affected.stream().limit(MAX_LOGGED).toList());
		}
	}

}
