package org.bramleyscale.standins.platform;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

import org.bramleyscale.VmId;
import org.bramleyscale.internal.platform.VmRecord;
import org.bramleyscale.internal.time.Clock;

/**
 * The list of VMs, in which each change becomes visible only after a lag.
 *
 * <p>
 * Confined to one thread.
 */
final class VmList {

	private final Clock clock;

	private final Duration lag;

	private final Deque<Change> pending = new ArrayDeque<>();

	private final SortedMap<String, VmRecord> visible = new TreeMap<>();

	VmList(Clock clock, Duration lag) {
		this.clock = clock;
		this.lag = lag;
	}

	void put(VmRecord vm) {
		this.pending.addLast(new Change(this.clock.nanos(), vm.vm(), vm));
	}

	void remove(VmId vm) {
		this.pending.addLast(new Change(this.clock.nanos(), vm, null));
	}

	List<VmRecord> read() {
		while (!this.pending.isEmpty() && isDue(this.pending.peekFirst())) {
			apply(this.pending.removeFirst());
		}
		return List.copyOf(this.visible.values());
	}

	private boolean isDue(Change change) {
		return this.clock.nanos() - change.madeAt >= this.lag.toNanos();
	}

	private void apply(Change change) {
		if (change.record == null) {
			this.visible.remove(change.vm.value());
		}
		else {
			this.visible.put(change.vm.value(), change.record);
		}
	}

	/**
	 * One change of the list; the record is null if the VM was removed.
	 */
	private record Change(long madeAt, VmId vm, VmRecord record) {
	}

}
