package org.bramleyscale.internal.gateway.catalog;

/**
 * Performance model of the engines of a service, as configured by the operator.
 *
 * <p>
 * An engine works in passes. In a pass each writer, a request that generates tokens, gets
 * {@code stride} tokens, and up to {@code stride * chunk} prompt tokens are prefilled
 * between them, so that prefill lengthens the pauses between the tokens of writers.
 * Immutable and safe for use by multiple threads.
 *
 * @param slots the number of requests that run concurrently
 * @param memoryTokens the number of context tokens that fit in an engine's memory
 * @param stride the number of token steps in a pass with writers
 * @param chunk the maximum number of prompt tokens prefilled in a step
 * @param stepMillis the time of a token step without writers, in ms
 * @param writerMillis the time that each writer adds to a step, in ms
 * @param contextMillis the time that 1,000 tokens of a writer's context add to a step, in
 * ms
 * @param readTokensPerMilli the number of prompt tokens prefilled in a ms
 * @param pairMillis the time for a million pairs of a prompt token and an earlier one, in
 * ms
 * @param delays the network delays between data centres
 */
public record EngineProfile(int slots, long memoryTokens, int stride, int chunk, double stepMillis, double writerMillis,
		double contextMillis, double readTokensPerMilli, double pairMillis, NetworkDelays delays) {

	private static final double MILLION = 1_000_000;

	private static final double THOUSAND = 1_000;

	public EngineProfile {
		if (slots < 1 || stride < 1 || readTokensPerMilli <= 0) {
			throw new IllegalArgumentException("engine profile needs positive slots, stride and prefill rate, were "
					+ slots + ", " + stride + ", " + readTokensPerMilli);
		}
	}

	/**
	 * Creates a profile for engines that all count as equally near.
	 * @param slots the number of requests that run concurrently
	 * @param memoryTokens the number of context tokens that fit in an engine's memory
	 * @param stride the number of tokens that each writer gets in a pass
	 * @param chunk the number of prompt tokens prefilled in a step
	 * @param stepMillis the time of a step, in ms
	 * @param writerMillis the time that each writer adds to a step, in ms
	 * @param contextMillis the time that 1,000 tokens of context add to a step, in ms
	 * @param readTokensPerMilli the number of prompt tokens prefilled in a ms
	 * @param pairMillis the time for a million pairs of tokens, in ms
	 */
	public EngineProfile(int slots, long memoryTokens, int stride, int chunk, double stepMillis, double writerMillis,
			double contextMillis, double readTokensPerMilli, double pairMillis) {
		this(slots, memoryTokens, stride, chunk, stepMillis, writerMillis, contextMillis, readTokensPerMilli,
				pairMillis, NetworkDelays.NONE);
	}

	/**
	 * A copy of this profile with network delays.
	 * @param value the delays between data centres
	 * @return the copy
	 */
	public EngineProfile withDelays(NetworkDelays value) {
		return new EngineProfile(this.slots, this.memoryTokens, this.stride, this.chunk, this.stepMillis,
				this.writerMillis, this.contextMillis, this.readTokensPerMilli, this.pairMillis, value);
	}

	/**
	 * The time that an otherwise idle engine needs to prefill a whole prompt.
	 * @param tokens the prompt's length
	 * @return the time, in ms
	 */
	public double prefillMillis(long tokens) {
		double pairs = (double) tokens * tokens / 2;
		return tokens / this.readTokensPerMilli + pairs / MILLION * this.pairMillis;
	}

	/**
	 * The time between two events of a stream while no prompt is prefilled.
	 * @param writers the number of writers
	 * @param contextTokens the sum of their contexts, in tokens
	 * @return the time of a pass, in ms
	 */
	public double passMillis(int writers, long contextTokens) {
		return this.stride
				* (this.stepMillis + this.writerMillis * writers + this.contextMillis * contextTokens / THOUSAND);
	}

	/**
	 * The time that an engine needs to decode an answer.
	 * @param tokens the answer's length
	 * @param writers the number of concurrent writers
	 * @return the time, in ms
	 */
	public double decodeMillis(long tokens, int writers) {
		return tokens * passMillis(writers, 0) / this.stride;
	}

}
