package org.bramleyscale.internal.request;

import java.util.Optional;
import java.util.random.RandomGenerator;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import org.bramleyscale.Ran;
import org.bramleyscale.RequestId;

/**
 * Which caller-chosen ids of not-repeatable requests this incarnation has admitted, for
 * as long as it lives.
 *
 * <p>
 * Records of ended requests are dropped after a while. A retry that arrives later would
 * then look like a new request, and a booking would be made twice. The daemon can tell
 * "never seen" from "dropped" for ids that it issued itself, by its counter, but not for
 * suffixes that callers choose. So it remembers those, as a 64-bit keyed hash and one
 * byte for what became of the request. Two ids with the same hash lead to a wrong
 * "unknown" for the second and never to a second run; with 1.5 million ids that befalls
 * less than one new id in ten trillion.
 *
 * <p>
 * Memory: 9 bytes a slot, at most three quarters of the slots used: 18.9 MB at the bound
 * of 1.5 million ids, which 3 such requests a second reach after 5.8 days. Nothing is
 * ever dropped. When the bound is reached, further not-repeatable requests with
 * caller-chosen ids are refused, truthfully as not run; those with issued ids go on.
 *
 * <p>
 * Invariant: an id once added is found for ever. Not safe for use by multiple threads.
 */
final class SpentIds {

	private static final int FIRST_SLOTS = 1024;

	private static final int BYTES_PER_SLOT = Long.BYTES + 1;

	private final HashFunction hash;

	private final int bound;

	private long[] keys = new long[FIRST_SLOTS];

	private byte[] states = new byte[FIRST_SLOTS];

	private int size;

	SpentIds(int bound, RandomGenerator random) {
		this.bound = bound;
		this.hash = Hashing.sipHash24(random.nextLong(), random.nextLong());
	}

	/**
	 * Notes that a request is admitted.
	 * @param id its id
	 * @return false if there is no room for another id; nothing is noted then
	 */
	boolean add(RequestId id) {
		if (this.size >= this.bound) {
			return find(id).isPresent();
		}
		if ((this.size + 1) * 4L > this.keys.length * 3L) {
			grow();
		}
		put(id, Ran.UNKNOWN);
		return true;
	}

	/**
	 * Notes what became of a request that was added.
	 * @param id its id
	 * @param ran whether it ran
	 */
	void ended(RequestId id, Ran ran) {
		int slot = slot(this.keys, key(id));
		if (this.keys[slot] != 0) {
			this.states[slot] = (byte) ran.ordinal();
		}
	}

	/**
	 * What became of a request.
	 * @param id its id
	 * @return whether it ran, or empty if it was never admitted
	 */
	Optional<Ran> find(RequestId id) {
		int slot = slot(this.keys, key(id));
		return (this.keys[slot] != 0) ? Optional.of(Ran.values()[this.states[slot]]) : Optional.empty();
	}

	int size() {
		return this.size;
	}

	long bytes() {
		return (long) this.keys.length * BYTES_PER_SLOT;
	}

	private void put(RequestId id, Ran ran) {
		long key = key(id);
		int slot = slot(this.keys, key);
		if (this.keys[slot] == 0) {
			this.keys[slot] = key;
			this.size++;
		}
		this.states[slot] = (byte) ran.ordinal();
	}

	private void grow() {
		long[] oldKeys = this.keys;
		byte[] oldStates = this.states;
		this.keys = new long[2 * oldKeys.length];
		this.states = new byte[2 * oldStates.length];
		for (int old = 0; old < oldKeys.length; old++) {
			if (oldKeys[old] != 0) {
				int slot = slot(this.keys, oldKeys[old]);
				this.keys[slot] = oldKeys[old];
				this.states[slot] = oldStates[old];
			}
		}
	}

	private long key(RequestId id) {
		long key = this.hash.hashUnencodedChars(id.sequence()).asLong();
		return (key != 0) ? key : 1;
	}

	private static int slot(long[] table, long key) {
		int mask = table.length - 1;
		int slot = (int) (key ^ (key >>> Integer.SIZE)) & mask;
		while (table[slot] != 0 && table[slot] != key) {
			slot = (slot + 1) & mask;
		}
		return slot;
	}

}
