package org.bramleyscale.standins.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * The faults that the platform shows at present.
 *
 * <p>
 * Several faults may strike one call; their delays add up. Confined to the thread of the
 * platform's scheduler, or to a test's.
 */
public final class PlatformFaults {

	private final List<Entry> entries = new ArrayList<>();

	/**
	 * Adds a fault.
	 * @param fault the fault
	 */
	public void inject(PlatformFault fault) {
		this.entries.add(new Entry(fault));
	}

	public void clear() {
		this.entries.clear();
	}

	public List<PlatformFault> active() {
		return this.entries.stream().map((entry) -> entry.fault).toList();
	}

	Effect strike(PlatformOperation operation) {
		List<PlatformFault> struck = new ArrayList<>();
		Iterator<Entry> iterator = this.entries.iterator();
		while (iterator.hasNext()) {
			Entry entry = iterator.next();
			if (entry.fault.strikes(operation)) {
				struck.add(entry.fault);
				if (entry.usedUp()) {
					iterator.remove();
				}
			}
		}
		return new Effect(struck);
	}

	/**
	 * A fault with the calls it still strikes.
	 */
	private static final class Entry {

		private final PlatformFault fault;

		private int struck;

		private Entry(PlatformFault fault) {
			this.fault = fault;
		}

		private boolean usedUp() {
			this.struck++;
			return this.fault.calls() > 0 && this.struck >= this.fault.calls();
		}

	}

	/**
	 * The faults that strike one call.
	 */
	record Effect(List<PlatformFault> struck) {

		boolean has(PlatformFault.Kind kind) {
			return this.struck.stream().anyMatch((fault) -> fault.kind() == kind);
		}

		Duration delay(PlatformFault.Kind kind) {
			return this.struck.stream()
				.filter((fault) -> fault.kind() == kind)
				.map(PlatformFault::delay)
				.reduce(Duration.ZERO, Duration::plus);
		}

	}

}
