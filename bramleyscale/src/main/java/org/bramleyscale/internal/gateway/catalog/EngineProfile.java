package org.bramleyscale.internal.gateway.catalog;

/**
 * How the engines of a service work, as the operator states it.
 *
 * <p>
 * An engine works in passes. In a pass each request that writes gets {@code stride}
 * tokens, and up to {@code stride * chunk} prompt tokens are read between them, so that
 * what is read lengthens the pauses of those who write. Immutable and safe for use by
 * multiple threads.
 *
 * @param slots how many requests run at once
 * @param memoryTokens how many tokens of context fit in an engine's memory
 * @param stride token steps in a pass with writers
 * @param chunk prompt tokens read in a step at most
 * @param stepMillis the time of a token step without writers, ms
 * @param writerMillis what each writer adds to a step, ms
 * @param contextMillis what 1,000 tokens of a writer's context add to a step, ms
 * @param readTokensPerMilli prompt tokens read in a ms
 * @param pairMillis the time for a million pairs of a prompt token and an earlier one, ms
 */
public record EngineProfile(int slots, long memoryTokens, int stride, int chunk, double stepMillis, double writerMillis,
		double contextMillis, double readTokensPerMilli, double pairMillis) {

	private static final double MILLION = 1_000_000;

	private static final double THOUSAND = 1_000;

	public EngineProfile {
		if (slots < 1 || stride < 1 || readTokensPerMilli <= 0) {
			throw new IllegalArgumentException("an engine needs slots, a stride and a reading rate, was " + slots + ", "
					+ stride + ", " + readTokensPerMilli);
		}
	}

	/**
	 * The time an engine needs to read a whole prompt by itself.
	 * @param tokens the prompt's length
	 * @return the time, ms
	 */
	public double readMillis(long tokens) {
		double pairs = (double) tokens * tokens / 2;
		return tokens / this.readTokensPerMilli + pairs / MILLION * this.pairMillis;
	}

	/**
	 * The time between two events of a stream while nothing is read.
	 * @param writers how many requests write
	 * @param contextTokens the sum of their contexts
	 * @return the time of a pass, ms
	 */
	public double passMillis(int writers, long contextTokens) {
		return this.stride
				* (this.stepMillis + this.writerMillis * writers + this.contextMillis * contextTokens / THOUSAND);
	}

	/**
	 * The time an engine needs to write an answer beside others.
	 * @param tokens the answer's length
	 * @param writers how many requests write at once
	 * @return the time, ms
	 */
	public double writeMillis(long tokens, int writers) {
		return tokens * passMillis(writers, 0) / this.stride;
	}

}
