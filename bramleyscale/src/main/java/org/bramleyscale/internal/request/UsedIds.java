package org.bramleyscale.internal.request;

import java.util.Optional;
import java.util.random.RandomGenerator;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import org.bramleyscale.Ran;
import org.bramleyscale.RequestId;

/**
 * The caller-chosen ids of all not-repeatable requests that this incarnation has
 * admitted.
 *
 * <p>
 * Records of ended requests are dropped after their retention period. A retry that
 * arrives later would look like a new request, and a not-repeatable request would run
 * twice. For ids that the daemon issued itself, its counter distinguishes dropped ids
 * from unused ones; for caller-chosen suffixes it can't. These are therefore stored as a
 * 64-bit keyed hash and one byte for whether the request ran. If two ids have the same
 * hash, the second is wrongly reported as unknown, but never runs a second time; with 1.5
 * million ids this affects less than one new id in ten trillion.
 *
 * <p>
 * Memory: 9 bytes per slot at a load factor of at most three quarters, which gives 18.9
 * MB at the capacity of 1.5 million ids. A load of 3 such requests per second reaches it
 * after 5.8 days. Ids are never dropped. When the capacity is reached, further
 * not-repeatable requests with caller-chosen ids are refused as not run; requests with
 * issued ids are still accepted.
 *
 * <p>
 * Invariant: an id that was added is always found. Not safe for use by multiple threads.
 */
final class UsedIds {

	private static final int INITIAL_SLOTS = 1024;

	private static final int BYTES_PER_SLOT = Long.BYTES + 1;

	private final HashFunction hash;

	private final int capacity;

	private long[] keys = new long[INITIAL_SLOTS];

	private byte[] states = new byte[INITIAL_SLOTS];

	private int size;

	UsedIds(int capacity, RandomGenerator random) {
		this.capacity = capacity;
		this.hash = Hashing.sipHash24(random.nextLong(), random.nextLong());
	}

	/**
	 * Adds the id of an admitted request.
	 * @param id its id
	 * @return false if the id is not present and can't be added because the capacity is
	 * reached
	 */
	boolean add(RequestId id) {
		if (this.size >= this.capacity) {
			return find(id).isPresent();
		}
		if ((this.size + 1) * 4L > this.keys.length * 3L) {
			grow();
		}
		put(id, Ran.UNKNOWN);
		return true;
	}

	/**
	 * Records whether a request that was added ran.
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
	 * Looks up whether a request ran.
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
