package org.bramleyscale.internal.endpoint;

/**
 * An amount of an endpoint's capacity, in request slots and KV memory.
 *
 * <p>
 * Immutable and safe for use by multiple threads. The result of {@link #minus} may be
 * negative.
 *
 * @param slots concurrent requests
 * @param kvTokens KV memory in tokens; always 0 for a plain service
 */
public record Amount(int slots, long kvTokens) {

	/** No slots and no memory. */
	public static final Amount NONE = new Amount(0, 0);

	public Amount plus(Amount other) {
		return new Amount(this.slots + other.slots, this.kvTokens + other.kvTokens);
	}

	public Amount minus(Amount other) {
		return new Amount(this.slots - other.slots, this.kvTokens - other.kvTokens);
	}

	public Amount min(Amount other) {
		return new Amount(Math.min(this.slots, other.slots), Math.min(this.kvTokens, other.kvTokens));
	}

	public Amount max(Amount other) {
		return new Amount(Math.max(this.slots, other.slots), Math.max(this.kvTokens, other.kvTokens));
	}

	public Amount times(double factor) {
		return new Amount((int) (this.slots * factor), (long) (this.kvTokens * factor));
	}

	/**
	 * Halves slots and memory repeatedly, rounding down.
	 * @param times how many times to halve; may exceed the number of bits
	 * @return the halved amount
	 */
	public Amount halved(long times) {
		if (times >= Integer.SIZE - 1) {
			return new Amount(0, (times >= Long.SIZE - 1) ? 0 : this.kvTokens >> times);
		}
		return new Amount(this.slots >> times, this.kvTokens >> times);
	}

	public boolean within(Amount other) {
		return this.slots <= other.slots && this.kvTokens <= other.kvTokens;
	}

}
