package org.bramleyscale.internal.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.bramleyscale.DataCentre;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.time.Clock;

/**
 * The newest claim about each VM, with digests to compare it by.
 *
 * <p>
 * Invariant: two tables with the same entries that aren't dead have the same digests; a
 * dead entry counts like a missing one, so that tables may forget their dead at different
 * times. Confined to the scheduler's thread.
 */
final class MemberTable {

	private final Clock clock;

	private final Map<VmId, MemberEntry> entries = new TreeMap<>(Comparator.comparing(VmId::value));

	private final Map<VmId, Long> deadSince = new HashMap<>();

	private final Map<VmId, Long> silentSince = new HashMap<>();

	private final Map<DataCentre, Long> digests = new HashMap<>();

	private long changes;

	private long changedAt;

	MemberTable(Clock clock) {
		this.clock = clock;
		this.changedAt = clock.nanos();
	}

	Optional<MemberEntry> get(VmId vm) {
		return Optional.ofNullable(this.entries.get(vm));
	}

	/**
	 * All entries, sorted by VM name.
	 * @return the entries, dead ones included
	 */
	Collection<MemberEntry> all() {
		return Collections.unmodifiableCollection(this.entries.values());
	}

	/**
	 * The entries of a data centre that aren't dead, sorted by VM name.
	 * @param dataCentre the data centre
	 * @return the entries
	 */
	List<MemberEntry> present(DataCentre dataCentre) {
		List<MemberEntry> result = new ArrayList<>();
		for (MemberEntry entry : this.entries.values()) {
			if (entry.health() != Health.DEAD && entry.identity().dataCentre().equals(dataCentre)) {
				result.add(entry);
			}
		}
		return result;
	}

	/**
	 * Takes a claim.
	 * @param claim the claim
	 * @return whether it changed the table
	 */
	boolean merge(MemberEntry claim) {
		MemberEntry held = this.entries.get(claim.vm());
		MemberEntry merged = (held != null) ? held.merge(claim) : claim;
		if (merged.equals(held)) {
			return false;
		}
		if (held != null) {
			count(held);
		}
		count(merged);
		this.entries.put(merged.vm(), merged);
		noteDeath(merged);
		noteSilence(merged);
		noteChange();
		return true;
	}

	/**
	 * A number that differs after each change.
	 * @return the number of changes
	 */
	long changes() {
		return this.changes;
	}

	long changedAt() {
		return this.changedAt;
	}

	Map<DataCentre, Long> digests() {
		return Collections.unmodifiableMap(this.digests);
	}

	long digest() {
		long all = 0;
		for (long digest : this.digests.values()) {
			all ^= digest;
		}
		return all;
	}

	/**
	 * Forgets entries that have been dead for long.
	 * @param nanos how long
	 */
	void forgetDead(long nanos) {
		long now = this.clock.nanos();
		for (Iterator<Map.Entry<VmId, Long>> iterator = this.deadSince.entrySet().iterator(); iterator.hasNext();) {
			Map.Entry<VmId, Long> dead = iterator.next();
			if (now - dead.getValue() > nanos) {
				this.entries.remove(dead.getKey());
				this.silentSince.remove(dead.getKey());
				iterator.remove();
				noteChange();
			}
		}
	}

	/**
	 * For how long an entry hasn't been alive.
	 * @param vm the VM
	 * @return the time, or zero if it is alive or unknown
	 */
	Duration silence(VmId vm) {
		Long since = this.silentSince.get(vm);
		return (since != null) ? Duration.ofNanos(this.clock.nanos() - since) : Duration.ZERO;
	}

	private void noteSilence(MemberEntry merged) {
		if (merged.health() == Health.ALIVE) {
			this.silentSince.remove(merged.vm());
		}
		else {
			this.silentSince.putIfAbsent(merged.vm(), this.clock.nanos());
		}
	}

	private void noteDeath(MemberEntry merged) {
		if (merged.health() == Health.DEAD) {
			this.deadSince.putIfAbsent(merged.vm(), this.clock.nanos());
		}
		else {
			this.deadSince.remove(merged.vm());
		}
	}

	private void noteChange() {
		this.changes++;
		this.changedAt = this.clock.nanos();
	}

	private void count(MemberEntry entry) {
		if (entry.health() == Health.DEAD) {
			return;
		}
		DataCentre dataCentre = entry.identity().dataCentre();
		long digest = this.digests.getOrDefault(dataCentre, 0L) ^ entry.fingerprint();
		if (digest == 0) {
			this.digests.remove(dataCentre);
		}
		else {
			this.digests.put(dataCentre, digest);
		}
	}

}
