package org.bramleyscale.internal.endpoint;

/**
 * A part of an endpoint's capacity.
 *
 * <p>
 * Immutable and safe for use by multiple threads. A difference may be negative.
 *
 * @param slots requests at once
 * @param kvTokens KV memory in tokens; always 0 for a plain service
 */
public record Amount(int slots, long kvTokens) {

	/** Nothing. */
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
	 * Halves both parts, rounding down.
	 * @param times how often; any number
	 * @return what is left
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
