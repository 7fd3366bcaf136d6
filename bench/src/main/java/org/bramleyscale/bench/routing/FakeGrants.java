package org.bramleyscale.bench.routing;

import java.util.ArrayList;
import java.util.List;

/**
 * The owners' side in small: at each round every engine's free slots and memory are
 * divided among the entries, after their waiting large requests.
 *
 * <p>
 * Invariant: what is granted and held never exceeds an engine's capacity.
 */
final class FakeGrants {

	private static final double GIVEN_AHEAD = 0.5;

	private final List<FakeEngine> engines;

	private final int entries;

	private final int[][] grantedSlots;

	private final long[][] grantedKv;

	private final int[][] usedSlots;

	private final long[][] usedKv;

	private final long[] heldKv;

	private final List<List<Long>> wishes = new ArrayList<>();

	private int round;

	FakeGrants(List<FakeEngine> engines, int entries) {
		this.engines = engines;
		this.entries = entries;
		this.grantedSlots = new int[engines.size()][entries];
		this.grantedKv = new long[engines.size()][entries];
		this.usedSlots = new int[engines.size()][entries];
		this.usedKv = new long[engines.size()][entries];
		this.heldKv = new long[engines.size()];
		for (int entry = 0; entry < entries; entry++) {
			this.wishes.add(List.of());
		}
	}

	/**
	 * Sets the memory that an entry's waiting large requests need.
	 * @param entry the entry
	 * @param kvTokens memory for each, the oldest request first
	 */
	void wish(int entry, List<Long> kvTokens) {
		this.wishes.set(entry, kvTokens);
	}

	void divide() {
		this.round++;
		for (int engine = 0; engine < this.engines.size(); engine++) {
			divide(engine);
		}
	}

	int slotsLeft(int engine, int entry) {
		return this.grantedSlots[engine][entry] - this.usedSlots[engine][entry];
	}

	long kvLeft(int engine, int entry) {
		return this.grantedKv[engine][entry] - this.usedKv[engine][entry];
	}

	boolean take(int engine, int entry, long kvTokens) {
		if (slotsLeft(engine, entry) <= 0 || kvLeft(engine, entry) < kvTokens) {
			return false;
		}
		this.usedSlots[engine][entry]++;
		this.usedKv[engine][entry] += kvTokens;
		return true;
	}

	void giveBack(int engine, int entry, long kvTokens) {
		this.usedSlots[engine][entry]--;
		this.usedKv[engine][entry] -= kvTokens;
	}

	/**
	 * Holds memory for a group of engines out of what is free.
	 * @param engine the engine
	 * @param kvTokens the memory wanted
	 * @return what could be held now
	 */
	long hold(int engine, long kvTokens) {
		long held = Math.min(kvTokens, free(engine));
		this.heldKv[engine] += Math.max(0, held);
		return Math.max(0, held);
	}

	void release(int engine, long kvTokens) {
		this.heldKv[engine] -= kvTokens;
	}

	long free(int engine) {
		long free = this.engines.get(engine).profile().kvCapacity() - this.heldKv[engine];
		for (long used : this.usedKv[engine]) {
			free -= used;
		}
		return free;
	}

	private void divide(int engine) {
		int freeSlots = this.engines.get(engine).profile().slots();
		for (int used : this.usedSlots[engine]) {
			freeSlots -= used;
		}
		long freeKv = free(engine);
		long[] claims = claims(engine, freeKv);
		for (long claim : claims) {
			freeKv -= claim;
		}
		for (int entry = 0; entry < this.entries; entry++) {
			this.grantedSlots[engine][entry] = this.usedSlots[engine][entry]
					+ Math.max((freeSlots > entry) ? 1 : 0, freeSlots / this.entries);
			this.grantedKv[engine][entry] = this.usedKv[engine][entry] + claims[entry]
					+ (long) (freeKv * GIVEN_AHEAD / this.entries);
		}
	}

	// Entries take turns, a different one first at each engine, so that they don't all
	// wait for the same engine.
	private long[] claims(int engine, long freeKv) {
		long[] claims = new long[this.entries];
		long left = freeKv;
		for (int i = 0; i < this.entries; i++) {
			int entry = (engine + this.round + i) % this.entries;
			for (long wish : this.wishes.get(entry)) {
				if (wish <= left) {
					claims[entry] = wish;
					left -= wish;
					break;
				}
			}
		}
		return claims;
	}

}
