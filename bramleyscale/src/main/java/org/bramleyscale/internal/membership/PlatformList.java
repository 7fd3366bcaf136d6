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
 * What the platform's lagging list says, and what may be concluded from it.
 *
 * <p>
 * The list says which VMs exist and where; it never says who answers. Its leaving mark
 * belongs to a VM, not to an incarnation, and is late: taken at once it would mark a
 * daemon that has just been started again after a planned stop, and a leaving mark never
 * goes away. So a mark counts for the incarnation that was known when the mark was seen
 * to appear, and for any other only once it has stood for longer than the list can lag.
 * On a first reading it isn't known which came first. Confined to the scheduler's thread.
 */
final class PlatformList {

	private static final int GONE_AFTER_LISTS = 2;

	private static final int MOST_POLLS_BETWEEN = 4;

	private final Clock clock;

	private final long lagNanos;

	private final long gapNanos;

	private final Map<VmId, VmRecord> records = new HashMap<>();

	private final Map<VmId, Integer> missing = new HashMap<>();

	private final Map<VmId, LeavingMark> marks = new HashMap<>();

	private long readAt;

	private boolean readBefore;

	PlatformList(Clock clock, MembershipTimes times, Collection<VmRecord> seeds) {
		this.clock = clock;
		this.lagNanos = times.listLag().toNanos();
		this.gapNanos = MOST_POLLS_BETWEEN * times.poll().toNanos();
		seeds.forEach((seed) -> this.records.put(seed.vm(), seed));
	}

	/**
	 * Takes a reading.
	 * @param list the list
	 * @param table the members known
	 */
	void read(List<VmRecord> list, MemberTable table) {
		long now = this.clock.nanos();
		boolean following = this.readBefore && now - this.readAt <= this.gapNanos;
		this.readBefore = true;
		this.readAt = now;
		Map<VmId, VmRecord> before = Map.copyOf(this.records);
		this.records.clear();
		for (VmRecord entry : list) {
			this.records.put(entry.vm(), entry);
			this.missing.remove(entry.vm());
			noteMark(entry, following ? table.get(entry.vm()) : Optional.empty());
		}
		before.keySet().stream().filter((vm) -> !this.records.containsKey(vm)).forEach(this.marks::remove);
		for (MemberEntry member : table.all()) {
			if (!this.records.containsKey(member.vm())) {
				this.missing.merge(member.vm(), 1, Integer::sum);
			}
		}
	}

	Optional<VmRecord> record(VmId vm) {
		return Optional.ofNullable(this.records.get(vm));
	}

	/**
	 * The listed VMs of a data centre.
	 * @param dataCentre the data centre
	 * @return their names
	 */
	Set<VmId> in(DataCentre dataCentre) {
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
	 * @return true if the mark surely concerns this incarnation
	 */
	boolean leaving(Incarnation member) {
		LeavingMark mark = this.marks.get(member.vm());
		return mark != null && (member.equals(mark.known()) || this.clock.nanos() - mark.since() > this.lagNanos);
	}

	/**
	 * Whether a VM has been taken off the list.
	 * @param vm the VM
	 * @return true if several readings in a row didn't have it
	 */
	boolean gone(VmId vm) {
		return this.missing.getOrDefault(vm, 0) >= GONE_AFTER_LISTS;
	}

	private void noteMark(VmRecord entry, Optional<MemberEntry> known) {
		if (!entry.leaving()) {
			this.marks.remove(entry.vm());
		}
		else if (!this.marks.containsKey(entry.vm())) {
			Incarnation incarnation = known.map(MemberEntry::incarnation).orElse(null);
			this.marks.put(entry.vm(), new LeavingMark(incarnation, this.clock.nanos()));
		}
	}

	/**
	 * A leaving mark of the list.
	 *
	 * @param known the incarnation known when the mark was seen to appear, or null
	 * @param since when it appeared here
	 */
	private record LeavingMark(Incarnation known, long since) {
	}

}
