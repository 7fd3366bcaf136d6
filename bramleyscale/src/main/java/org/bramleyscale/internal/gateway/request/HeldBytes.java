package org.bramleyscale.internal.gateway.request;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The bytes of endpoints' responses that this daemon holds, over all requests together.
 *
 * <p>
 * A response is held while it may be repeated elsewhere or is a part of an event. Faulty
 * endpoints send without end, and a bound for each response would let them fill the heap
 * together. Invariants: no more than the limit is held after any call; what exceeds it is
 * taken from whoever holds the most, so that a sound response isn't lost to one without
 * end. Confined to the scheduler's thread.
 */
public final class HeldBytes {

	/** The largest response that is held if the heap is large. */
	private static final long MAX_LIMIT = 16 * 1024 * 1024;

	/**
	 * The share of the heap: a response is copied once to be sent, and half of the heap
	 * serves everything else.
	 */
	private static final int HEAP_SHARE = 6;

	private final long limit;

	private final Set<Holder> holders = new LinkedHashSet<>();

	private long total;

	/**
	 * Creates an account.
	 * @param limit the maximum number of bytes held at the same time
	 */
	public HeldBytes(long limit) {
		this.limit = limit;
	}

	/**
	 * Creates an account whose limit suits the heap of this process.
	 * @return the account
	 */
	public static HeldBytes ofThisProcess() {
		return new HeldBytes(Math.min(MAX_LIMIT, Runtime.getRuntime().maxMemory() / HEAP_SHARE));
	}

	/**
	 * Returns the number of bytes held.
	 * @return the number
	 */
	public long total() {
		return this.total;
	}

	/**
	 * Begins to hold a response.
	 * @param onEvict drops what is held, called at most once
	 * @return the holder, with no bytes yet
	 */
	Holder open(Runnable onEvict) {
		return new Holder(onEvict);
	}

	private void evictUntilWithinLimit() {
		while (this.total > this.limit) {
			this.holders.stream().max(Comparator.comparingLong((holder) -> holder.bytes)).orElseThrow().evict();
		}
	}

	/**
	 * One response that is held.
	 */
	final class Holder {

		private final Runnable onEvict;

		private long bytes;

		private boolean evicted;

		private Holder(Runnable onEvict) {
			this.onEvict = onEvict;
		}

		/**
		 * Sets how many bytes are held; others or this one may be evicted for it.
		 * @param count the number
		 * @return false if this one is evicted
		 */
		boolean hold(long count) {
			if (this.evicted) {
				return false;
			}
			HeldBytes.this.total += count - this.bytes;
			this.bytes = count;
			if (count > 0) {
				HeldBytes.this.holders.add(this);
			}
			else {
				HeldBytes.this.holders.remove(this);
			}
			evictUntilWithinLimit();
			return !this.evicted;
		}

		void release() {
			hold(0);
		}

		private void evict() {
			release();
			this.evicted = true;
			this.onEvict.run();
		}

	}

}
