package org.bramleyscale.internal.gateway.load;

/**
 * What an endpoint has to do, as far as the daemons told each other.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param active requests sent there that haven't ended
 * @param readMillis prompts and parts of prompts not yet read, in ms of reading
 * @param tokens context that its memory holds or will hold
 * @param helping requests of other endpoints whose prompts it helps to read
 * @param pauseMillis the longest pause that the strictest stream written there may have,
 * ms, or {@link #ANY_PAUSE}
 */
public record EndpointLoad(int active, double readMillis, long tokens, int helping, int pauseMillis) {

	/** No stream that is written there minds a pause. */
	public static final int ANY_PAUSE = Integer.MAX_VALUE;

	/** An endpoint with nothing to do. */
	public static final EndpointLoad IDLE = new EndpointLoad(0, 0, 0, 0, ANY_PAUSE);

}
