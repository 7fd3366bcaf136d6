package org.bramleyscale.internal.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.bramleyscale.DataCentre;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.platform.VmRecord;
import org.bramleyscale.internal.time.Clock;

/**
 * Holds the platform's list of VMs, which lags behind, and what may be concluded from it.
 *
 * <p>
 * The list says which VMs exist and where, but not whether their daemons are responsive.
 * Its leaving mark belongs to a VM, not to an incarnation, and arrives late: if applied
 * at once it would mark a daemon that has just been restarted after a planned stop, and a
 * leaving mark is never removed. So a mark applies to the incarnation that was known when
 * the mark was seen to appear, and to any other only after it has been present for longer
 * than the maximum lag of the list. On the first read the order of the two is unknown.
 * Confined to the scheduler's thread.
 */
final class PlatformList {

	private static final int REMOVED_AFTER_READS = 2;

	private static final int MAX_POLLS_BETWEEN_READS = 4;

	private final Clock clock;

	private final long lagNanos;

	private final long maxGapNanos;

	private final Map<VmId, VmRecord> records = new HashMap<>();

	private final Map<VmId, Integer> missedReads = new HashMap<>();

	private final Map<VmId, LeavingMark> marks = new HashMap<>();

	private long lastReadAt;

	private boolean hasRead;

	PlatformList(Clock clock, MembershipTimes times, Collection<VmRecord> seeds) {
		this.clock = clock;
		this.lagNanos = times.maxListLag().toNanos();
		this.maxGapNanos = MAX_POLLS_BETWEEN_READS * times.pollInterval().toNanos();
		seeds.forEach((seed) -> this.records.put(seed.vm(), seed));
	}

	/**
	 * Updates the list.
	 * @param list the list as read from the platform
	 * @param table the known members
	 */
	void read(List<VmRecord> list, MemberTable table) {
		long now = this.clock.nanos();
		boolean consecutive = this.hasRead && now - this.lastReadAt <= this.maxGapNanos;
		this.hasRead = true;
		this.lastReadAt = now;
		Map<VmId, VmRecord> previous = Map.copyOf(this.records);
		this.records.clear();
		for (VmRecord entry : list) {
			this.records.put(entry.vm(), entry);
			this.missedReads.remove(entry.vm());
			updateMark(entry, consecutive ? table.get(entry.vm()) : Optional.empty());
		}
		previous.keySet().stream().filter((vm) -> !this.records.containsKey(vm)).forEach(this.marks::remove);
		for (MemberEntry member : table.all()) {
			if (!this.records.containsKey(member.vm())) {
				this.missedReads.merge(member.vm(), 1, Integer::sum);
			}
		}
	}

	Optional<VmRecord> record(VmId vm) {
		return Optional.ofNullable(this.records.get(vm));
	}

	/**
	 * Returns the listed VMs of a data centre.
	 * @param dataCentre the data centre
	 * @return the VMs
	 */
	Set<VmId> vmsIn(DataCentre dataCentre) {
		Set<VmId> result = new HashSet<>();
		for (VmRecord entry : this.records.values()) {
			if (entry.dataCentre().equals(dataCentre)) {
				result.add(entry.vm());
			}
		}
		return result;
	}

	Set<DataCentre> dataCentres() {
		Set<DataCentre> result = new HashSet<>();
		this.records.values().forEach((entry) -> result.add(entry.dataCentre()));
		return result;
	}

	/**
	 * Whether the list marks an incarnation as leaving.
	 * @param member the incarnation
	 * @return true if the mark certainly applies to this incarnation
	 */
	boolean isLeaving(Incarnation member) {
		LeavingMark mark = this.marks.get(member.vm());
		return mark != null
				&& (member.equals(mark.knownIncarnation()) || this.clock.nanos() - mark.since() > this.lagNanos);
	}

	/**
	 * Whether a VM has been removed from the list.
	 * @param vm the VM
	 * @return true if several consecutive reads didn't contain it
	 */
	boolean isRemoved(VmId vm) {
		return this.missedReads.getOrDefault(vm, 0) >= REMOVED_AFTER_READS;
	}

	private void updateMark(VmRecord entry, Optional<MemberEntry> member) {
		if (!entry.leaving()) {
			this.marks.remove(entry.vm());
		}
		else if (!this.marks.containsKey(entry.vm())) {
			Incarnation incarnation = member.map(MemberEntry::incarnation).orElse(null);
			this.marks.put(entry.vm(), new LeavingMark(incarnation, this.clock.nanos()));
		}
	}

	/**
	 * A leaving mark of the list.
	 *
	 * @param knownIncarnation the incarnation known when the mark was seen to appear, or
	 * null
	 * @param since the time at which this daemon first saw the mark
	 */
	private record LeavingMark(Incarnation knownIncarnation, long since) {
	}

}
