package org.bramleyscale.standins.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * The faults currently injected into the platform.
 *
 * <p>
 * Several faults may apply to one call; their delays add up. Confined to the thread of
 * the platform's scheduler or of a test.
 */
public final class PlatformFaults {

	private final List<Entry> entries = new ArrayList<>();

	/**
	 * Injects a fault.
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

	Effect apply(PlatformOperation operation) {
		List<PlatformFault> faults = new ArrayList<>();
		Iterator<Entry> iterator = this.entries.iterator();
		while (iterator.hasNext()) {
			Entry entry = iterator.next();
			if (entry.fault.appliesTo(operation)) {
				faults.add(entry.fault);
				if (entry.usedUpByCall()) {
					iterator.remove();
				}
			}
		}
		return new Effect(faults);
	}

	/**
	 * A fault and the number of calls it has been applied to.
	 */
	private static final class Entry {

		private final PlatformFault fault;

		private int calls;

		private Entry(PlatformFault fault) {
			this.fault = fault;
		}

		private boolean usedUpByCall() {
			this.calls++;
			return this.fault.calls() > 0 && this.calls >= this.fault.calls();
		}

	}

	/**
	 * The faults that apply to one call.
	 */
	record Effect(List<PlatformFault> faults) {

		boolean has(PlatformFault.Kind kind) {
			return this.faults.stream().anyMatch((fault) -> fault.kind() == kind);
		}

		Duration delay(PlatformFault.Kind kind) {
			return this.faults.stream()
				.filter((fault) -> fault.kind() == kind)
				.map(PlatformFault::delay)
				.reduce(Duration.ZERO, Duration::plus);
		}

	}

}
