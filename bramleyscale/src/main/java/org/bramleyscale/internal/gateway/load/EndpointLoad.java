package org.bramleyscale.internal.gateway.load;

/**
 * The load of an endpoint, as known from this daemon's requests and from the updates of
 * its peers.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param active requests sent to the endpoint that have not ended
 * @param prefillMillis the remaining prefill of prompts and parts of prompts, ms
 * @param tokens KV-cache tokens that are or will be in its memory
 * @param helping requests of other endpoints whose prompts it helps to prefill
 * @param pauseMillis the longest pause that its most sensitive stream permits, ms, or
 * {@link #ANY_PAUSE}
 */
public record EndpointLoad(int active, double prefillMillis, long tokens, int helping, int pauseMillis) {

	/** No stream on the endpoint limits its pauses. */
	public static final int ANY_PAUSE = Integer.MAX_VALUE;

	/** An endpoint without load. */
	public static final EndpointLoad IDLE = new EndpointLoad(0, 0, 0, 0, ANY_PAUSE);

}
