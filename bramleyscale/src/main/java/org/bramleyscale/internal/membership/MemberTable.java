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
 * Holds the latest claim about each VM, with digests for comparing tables.
 *
 * <p>
 * Invariant: two tables with the same entries that aren't dead have the same digests. A
 * dead entry counts like a missing one, so that tables may remove dead entries at
 * different times. Confined to the scheduler's thread.
 */
final class MemberTable {

	private final Clock clock;

	private final Map<VmId, MemberEntry> entries = new TreeMap<>(Comparator.comparing(VmId::value));

	private final Map<VmId, Long> deadSince = new HashMap<>();

	private final Map<VmId, Long> unresponsiveSince = new HashMap<>();

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
	 * Merges a claim into the table.
	 * @param claim the claim
	 * @return whether the table changed
	 */
	boolean merge(MemberEntry claim) {
		MemberEntry current = this.entries.get(claim.vm());
		MemberEntry merged = (current != null) ? current.merge(claim) : claim;
		if (merged.equals(current)) {
			return false;
		}
		if (current != null) {
			toggleInDigest(current);
		}
		toggleInDigest(merged);
		this.entries.put(merged.vm(), merged);
		updateDeadSince(merged);
		updateUnresponsiveSince(merged);
		recordChange();
		return true;
	}

	/**
	 * Returns a number that differs after each change.
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
		long combined = 0;
		for (long digest : this.digests.values()) {
			combined ^= digest;
		}
		return combined;
	}

	/**
	 * Removes entries that have been dead for longer than a retention period.
	 * @param retentionNanos the retention period
	 */
	void removeDead(long retentionNanos) {
		long now = this.clock.nanos();
		for (Iterator<Map.Entry<VmId, Long>> iterator = this.deadSince.entrySet().iterator(); iterator.hasNext();) {
			Map.Entry<VmId, Long> dead = iterator.next();
			if (now - dead.getValue() > retentionNanos) {
				this.entries.remove(dead.getKey());
				this.unresponsiveSince.remove(dead.getKey());
				iterator.remove();
				recordChange();
			}
		}
	}

	/**
	 * For how long a member hasn't been alive.
	 * @param vm the VM
	 * @return the time, or zero if the member is alive or unknown
	 */
	Duration unresponsiveFor(VmId vm) {
		Long since = this.unresponsiveSince.get(vm);
		return (since != null) ? Duration.ofNanos(this.clock.nanos() - since) : Duration.ZERO;
	}

	private void updateUnresponsiveSince(MemberEntry merged) {
		if (merged.health() == Health.ALIVE) {
			this.unresponsiveSince.remove(merged.vm());
		}
		else {
			this.unresponsiveSince.putIfAbsent(merged.vm(), this.clock.nanos());
		}
	}

	private void updateDeadSince(MemberEntry merged) {
		if (merged.health() == Health.DEAD) {
			this.deadSince.putIfAbsent(merged.vm(), this.clock.nanos());
		}
		else {
			this.deadSince.remove(merged.vm());
		}
	}

	private void recordChange() {
		this.changes++;
		this.changedAt = this.clock.nanos();
	}

	private void toggleInDigest(MemberEntry entry) {
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
