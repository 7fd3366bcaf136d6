package org.bramleyscale.internal.endpoint;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.bramleyscale.VmId;
import org.bramleyscale.internal.lease.Lease;
import org.bramleyscale.internal.lease.Leases;
import org.bramleyscale.internal.time.ManualScheduler;

/**
 * Leases of several daemons, assigned in the order of requests, with increasing numbers.
 */
final class FakeLeases {

	private final ManualScheduler scheduler;

	private final Map<String, Long> numbers = new HashMap<>();

	private final Map<String, Candidate> holders = new HashMap<>();

	private final Map<String, Map<VmId, Candidate>> candidates = new HashMap<>();

	private boolean down;

	FakeLeases(ManualScheduler scheduler) {
		this.scheduler = scheduler;
	}

	Leases of(VmId vm) {
		return new View(vm);
	}

	/** Makes the platform unavailable; all leases lapse. */
	void startOutage() {
		this.down = true;
		Map.copyOf(this.holders).forEach((name, holder) -> {
			this.holders.remove(name);
			holder.listener.lost(holder);
		});
	}

	void endOutage() {
		this.down = false;
		this.candidates.keySet().forEach(this::assign);
	}

	/** Removes a crashed VM and passes its leases on without notifying it. */
	void removeVm(VmId vm) {
		this.candidates.forEach((name, waiting) -> waiting.remove(vm));
		Map.copyOf(this.holders).forEach((name, holder) -> {
			if (holder.vm.equals(vm)) {
				this.holders.remove(name);
				assign(name);
			}
		});
	}

	/**
	 * Makes the leases of a VM that can't reach the platform lapse and passes them on.
	 */
	void expire(VmId vm) {
		this.candidates.values().forEach((waiting) -> waiting.remove(vm));
		Map.copyOf(this.holders).forEach((name, holder) -> {
			if (holder.vm.equals(vm)) {
				this.holders.remove(name);
				holder.listener.lost(holder);
				assign(name);
			}
		});
	}

	Optional<VmId> holder(String name) {
		return Optional.ofNullable(this.holders.get(name)).map((candidate) -> candidate.vm);
	}

	private void assign(String name) {
		Map<VmId, Candidate> waiting = this.candidates.getOrDefault(name, Map.of());
		if (this.down || this.holders.containsKey(name) || waiting.isEmpty()) {
			return;
		}
		Candidate next = waiting.values().iterator().next();
		this.holders.put(name, next);
		next.number = this.numbers.merge(name, 1L, Long::sum);
		this.scheduler.execute(() -> {
			if (this.holders.get(name) == next) {
				next.listener.acquired(next);
			}
		});
	}

	private final class View implements Leases {

		private final VmId vm;

		private View(VmId vm) {
			this.vm = vm;
		}

		@Override
		public void acquire(String name, LeaseListener listener) {
			FakeLeases.this.candidates.computeIfAbsent(name, (key) -> new LinkedHashMap<>())
				.put(this.vm, new Candidate(name, this.vm, listener));
			assign(name);
		}

		@Override
		public void release(String name) {
			FakeLeases.this.candidates.getOrDefault(name, new HashMap<>()).remove(this.vm);
			Candidate holder = FakeLeases.this.holders.get(name);
			if (holder != null && holder.vm.equals(this.vm)) {
				FakeLeases.this.holders.remove(name);
				assign(name);
			}
		}

		@Override
		public Optional<Lease> lease(String name) {
			return Optional.ofNullable(FakeLeases.this.holders.get(name));
		}

	}

	private final class Candidate implements Lease {

		private final String name;

		private final VmId vm;

		private final Leases.LeaseListener listener;

		private long number;

		private Candidate(String name, VmId vm, Leases.LeaseListener listener) {
			this.name = name;
			this.vm = vm;
			this.listener = listener;
		}

		@Override
		public String name() {
			return this.name;
		}

		@Override
		public long number() {
			return this.number;
		}

		@Override
		public boolean held() {
			return FakeLeases.this.holders.get(this.name) == this;
		}

	}

}
