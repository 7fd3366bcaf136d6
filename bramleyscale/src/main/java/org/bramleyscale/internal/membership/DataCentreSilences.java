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
 * Which other data centres the relays of the own one can't hear.
 *
 * <p>
 * Regions lose each other for minutes several times a year. Every daemon must then rather
 * use what is near, yet nobody may be declared dead for it. So the silence of a whole
 * data centre is a claim of its own, valid in the observers' data centre only, and makes
 * its members suspect without touching their entries. Confined to the scheduler's thread.
 */
final class DataCentreSilences {

	private static final long OVERRULED_NANOS = 60_000_000_000L;

	private final DataCentre own;

	private final Clock clock;

	private final Map<DataCentre, DataCentreSilence> claims = new TreeMap<>(Comparator.comparing(DataCentre::value));

	private final Map<DataCentre, Long> silentSince = new HashMap<>();

	private final Map<DataCentre, Long> heardAt = new HashMap<>();

	private final Map<DataCentre, Long> overruledAt = new HashMap<>();

	DataCentreSilences(DataCentre own, Clock clock) {
		this.own = own;
		this.clock = clock;
	}

	boolean silent(DataCentre dataCentre) {
		DataCentreSilence claim = this.claims.get(dataCentre);
		return claim != null && claim.silent();
	}

	/**
	 * For how long a data centre has been silent.
	 * @param dataCentre the data centre
	 * @return the time since it was claimed first, or zero if it isn't silent
	 */
	Duration silence(DataCentre dataCentre) {
		Long since = this.silentSince.get(dataCentre);
		return (since != null) ? Duration.ofNanos(this.clock.nanos() - since) : Duration.ZERO;
	}

	List<DataCentreSilence> claims() {
		return List.copyOf(this.claims.values());
	}

	/**
	 * A digest to compare the claims of two daemons of one data centre.
	 * @return 0 if there are no claims
	 */
	int digest() {
		int digest = 0;
		for (DataCentreSilence claim : this.claims.values()) {
			digest += Objects.hash(claim.target().value(), claim.version(), claim.silent());
		}
		return digest;
	}

	/**
	 * Takes a claim; one of another data centre's observers has no effect.
	 * @param claim the claim
	 * @return whether it changed anything
	 */
	boolean merge(DataCentreSilence claim) {
		if (!claim.observer().equals(this.own)) {
			return false;
		}
		DataCentreSilence held = this.claims.get(claim.target());
		DataCentreSilence merged = (held != null) ? held.merge(claim) : claim;
		this.claims.put(claim.target(), merged);
		boolean changed = !merged.equals(held);
		noteSilence(merged);
		if (changed && !merged.silent()) {
			this.overruledAt.put(merged.target(), this.clock.nanos());
		}
		return changed;
	}

	/**
	 * Notes that something came directly from another data centre.
	 * @param dataCentre the data centre
	 */
	void heard(DataCentre dataCentre) {
		this.heardAt.put(dataCentre, this.clock.nanos());
	}

	/**
	 * Brings the claims up to date with what this relay hears. Two relays may hear
	 * different things; the one that hears nothing gives way to the other for a while,
	 * else the two would overrule each other without end.
	 * @param others the other data centres
	 * @param nanos after how long without a word one is silent
	 * @return whether a claim changed
	 */
	boolean observe(Set<DataCentre> others, long nanos) {
		boolean changed = false;
		long now = this.clock.nanos();
		for (DataCentre other : others) {
			long at = this.heardAt.computeIfAbsent(other, (key) -> now);
			boolean silentHere = now - at > nanos;
			if (silentHere != silent(other) && !(silentHere && overruled(other, now))) {
				changed |= claim(other, silentHere);
			}
		}
		return changed;
	}

	/**
	 * Starts the observation anew, as a new relay and after a pause of the own process.
	 */
	void forgetObservations() {
		this.heardAt.clear();
	}

	private void noteSilence(DataCentreSilence merged) {
		if (merged.silent()) {
			this.silentSince.putIfAbsent(merged.target(), this.clock.nanos());
		}
		else {
			this.silentSince.remove(merged.target());
		}
	}

	private boolean overruled(DataCentre target, long now) {
		Long at = this.overruledAt.get(target);
		Long heardLast = this.heardAt.get(target);
		return at != null && now - at < OVERRULED_NANOS && heardLast - at < 0;
	}

	private boolean claim(DataCentre target, boolean silent) {
		DataCentreSilence held = this.claims.get(target);
		int version = (held != null) ? held.version() + 1 : 1;
		return merge(new DataCentreSilence(this.own, target, version, silent));
	}

}
