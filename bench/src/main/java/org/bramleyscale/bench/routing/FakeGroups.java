package org.bramleyscale.bench.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

import org.bramleyscale.internal.routing.LaneOrder;

/**
 * Reservations of memory on groups of engines in small: one at a time collects what
 * becomes free, all or nothing, in the order of asking.
 */
final class FakeGroups {

	/** The part of an engine's memory that a group may hold. */
	private static final double LARGEST_PART = 0.9;

	/** The part of the engines, from the short end, that groups leave alone. */
	private static final double SHORT_END = 0.4;

	private final List<FakeEngine> engines;

	private final List<Integer> longEnd;

	private final FakeGrants grants;

	private final Deque<Reservation> queue = new ArrayDeque<>();

	FakeGroups(List<FakeEngine> engines, FakeGrants grants) {
		this.engines = engines;
		this.grants = grants;
		List<Integer> order = new ArrayList<>();
		for (int i = 0; i < engines.size(); i++) {
			order.add(i);
		}
		order.sort(LaneOrder.comparing((engine) -> engines.get(engine).id(),
				(engine) -> engines.get(engine).profile().prefillTokensPerSecond(), usualSpeed(engines)));
		this.longEnd = order.subList((int) (engines.size() * SHORT_END), engines.size());
	}

	private static double usualSpeed(List<FakeEngine> engines) {
		return engines.stream()
			.mapToDouble((engine) -> engine.profile().prefillTokensPerSecond())
			.sorted()
			.skip(engines.size() / 2)
			.findFirst()
			.getAsDouble();
	}

	boolean needsGroup(Arrival arrival) {
		return arrival.kvTokens() > LARGEST_PART * this.engines.get(0).profile().kvCapacity();
	}

	Reservation reserve(long kvTokens, Consumer<Reservation> reserved) {
		Reservation reservation = new Reservation(kvTokens, reserved);
		this.queue.add(reservation);
		return reservation;
	}

	/**
	 * Collects memory for the reservation that asked first.
	 */
	void collect() {
		while (!this.queue.isEmpty()) {
			Reservation first = this.queue.peek();
			if (!first.collect()) {
				return;
			}
			this.queue.remove();
			first.reserved.accept(first);
		}
	}

	/**
	 * Memory on a group of engines.
	 */
	final class Reservation {

		private final Consumer<Reservation> reserved;

		private final long share;

		private final int size;

		private final List<Integer> members = new ArrayList<>();

		private final List<Long> held = new ArrayList<>();

		private Reservation(long kvTokens, Consumer<Reservation> reserved) {
			double most = LARGEST_PART * FakeGroups.this.engines.get(0).profile().kvCapacity();
			this.size = (int) Math.ceil(kvTokens / most);
			this.share = (long) Math.ceil((double) kvTokens / this.size);
			this.reserved = reserved;
		}

		List<Integer> members() {
			return this.members;
		}

		long share() {
			return this.share;
		}

		void close() {
			FakeGroups.this.queue.remove(this);
			for (int i = 0; i < this.members.size(); i++) {
				FakeGroups.this.grants.release(this.members.get(i), this.held.get(i));
			}
			this.members.clear();
			this.held.clear();
		}

		private boolean collect() {
			if (this.members.isEmpty()) {
				join();
			}
			boolean whole = true;
			for (int i = 0; i < this.members.size(); i++) {
				long missing = this.share - this.held.get(i);
				long more = FakeGroups.this.grants.hold(this.members.get(i), missing);
				this.held.set(i, this.held.get(i) + more);
				whole &= more == missing;
			}
			return whole;
		}

		private void join() {
			List<Integer> byRoom = new ArrayList<>(FakeGroups.this.longEnd);
			byRoom.sort(Comparator.comparingLong((engine) -> -FakeGroups.this.grants.free(engine)));
			for (int engine : byRoom.subList(0, Math.min(this.size, byRoom.size()))) {
				this.members.add(engine);
				this.held.add(0L);
			}
		}

	}

}
