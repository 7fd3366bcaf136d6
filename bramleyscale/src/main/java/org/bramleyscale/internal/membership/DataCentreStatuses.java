package org.bramleyscale.internal.membership;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;

import org.bramleyscale.DataCentre;
import org.bramleyscale.internal.time.Clock;

/**
 * Tracks which other data centres the local relays find unresponsive.
 *
 * <p>
 * Connections between regions fail for minutes several times a year. Every daemon must
 * then prefer daemons that are near, but no daemon may be declared dead because of it. So
 * the unresponsiveness of a whole data centre is a separate claim that is valid only in
 * the observers' data centre and makes the members of the target suspect without changing
 * their entries. Confined to the scheduler's thread.
 */
final class DataCentreStatuses {

	private static final long OVERRULE_HOLD_NANOS = 60_000_000_000L;

	private final DataCentre localDataCentre;

	private final Clock clock;

	private final Map<DataCentre, DataCentreStatus> claims = new TreeMap<>(Comparator.comparing(DataCentre::value));

	private final Map<DataCentre, Long> unresponsiveSince = new HashMap<>();

	private final Map<DataCentre, Long> lastContactAt = new HashMap<>();

	private final Map<DataCentre, Long> overruledAt = new HashMap<>();

	DataCentreStatuses(DataCentre localDataCentre, Clock clock) {
		this.localDataCentre = localDataCentre;
		this.clock = clock;
	}

	boolean isUnresponsive(DataCentre dataCentre) {
		DataCentreStatus claim = this.claims.get(dataCentre);
		return claim != null && claim.unresponsive();
	}

	/**
	 * For how long a data centre has been unresponsive.
	 * @param dataCentre the data centre
	 * @return the time since it was first claimed to be unresponsive, or zero if it is
	 * responsive
	 */
	Duration unresponsiveFor(DataCentre dataCentre) {
		Long since = this.unresponsiveSince.get(dataCentre);
		return (since != null) ? Duration.ofNanos(this.clock.nanos() - since) : Duration.ZERO;
	}

	List<DataCentreStatus> claims() {
		return List.copyOf(this.claims.values());
	}

	/**
	 * Returns a digest for comparing the claims of two daemons of one data centre.
	 * @return 0 if there are no claims
	 */
	int digest() {
		int digest = 0;
		for (DataCentreStatus claim : this.claims.values()) {
			digest += Objects.hash(claim.target().value(), claim.version(), claim.unresponsive());
		}
		return digest;
	}

	/**
	 * Merges a claim. A claim by an observer in another data centre has no effect.
	 * @param claim the claim
	 * @return whether any claim changed
	 */
	boolean merge(DataCentreStatus claim) {
		if (!claim.observer().equals(this.localDataCentre)) {
			return false;
		}
		DataCentreStatus current = this.claims.get(claim.target());
		DataCentreStatus merged = (current != null) ? current.merge(claim) : claim;
		this.claims.put(claim.target(), merged);
		boolean changed = !merged.equals(current);
		updateUnresponsiveSince(merged);
		if (changed && !merged.unresponsive()) {
			this.overruledAt.put(merged.target(), this.clock.nanos());
		}
		return changed;
	}

	/**
	 * Records that a message was received directly from another data centre.
	 * @param dataCentre the data centre
	 */
	void recordContact(DataCentre dataCentre) {
		this.lastContactAt.put(dataCentre, this.clock.nanos());
	}

	/**
	 * Updates the claims from the messages that this relay receives. Two relays may
	 * observe different things; the one that receives no messages defers to the other for
	 * a while, otherwise the two would overrule each other endlessly.
	 * @param others the other data centres
	 * @param timeoutNanos the time without a message after which a data centre is
	 * unresponsive
	 * @return whether a claim changed
	 */
	boolean updateClaims(Set<DataCentre> others, long timeoutNanos) {
		boolean changed = false;
		long now = this.clock.nanos();
		for (DataCentre other : others) {
			long contactAt = this.lastContactAt.computeIfAbsent(other, (key) -> now);
			boolean unresponsiveHere = now - contactAt > timeoutNanos;
			if (unresponsiveHere != isUnresponsive(other) && !(unresponsiveHere && wasOverruled(other, now))) {
				changed |= claim(other, unresponsiveHere);
			}
		}
		return changed;
	}

	/**
	 * Restarts the observation when this daemon becomes a relay, ceases to be one, or was
	 * paused.
	 */
	void resetObservations() {
		this.lastContactAt.clear();
	}

	private void updateUnresponsiveSince(DataCentreStatus merged) {
		if (merged.unresponsive()) {
			this.unresponsiveSince.putIfAbsent(merged.target(), this.clock.nanos());
		}
		else {
			this.unresponsiveSince.remove(merged.target());
		}
	}

	private boolean wasOverruled(DataCentre target, long now) {
		Long overruled = this.overruledAt.get(target);
		Long contactAt = this.lastContactAt.get(target);
		return overruled != null && now - overruled < OVERRULE_HOLD_NANOS && contactAt - overruled < 0;
	}

	private boolean claim(DataCentre target, boolean unresponsive) {
		DataCentreStatus current = this.claims.get(target);
		int version = (current != null) ? current.version() + 1 : 1;
		return merge(new DataCentreStatus(this.localDataCentre, target, version, unresponsive));
	}

}
