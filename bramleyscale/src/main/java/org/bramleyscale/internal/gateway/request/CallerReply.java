package org.bramleyscale.internal.gateway.request;

import java.time.Duration;
import java.util.List;

/**
 * The way back to a caller: exactly one answer, whole or as a stream.
 *
 * <p>
 * Confined to the scheduler's thread. Calls after the answer's end, or after the caller
 * has gone, do nothing.
 */
public interface CallerReply {

	/**
	 * Passes on an endpoint's whole answer.
	 * @param status its status
	 * @param headers its end-to-end headers
	 * @param body its body
	 */
	void whole(int status, List<Header> headers, byte[] body);

	/**
	 * Sends an answer of the daemon's own.
	 * @param status the status
	 * @param reason why, for the caller's log
	 * @param retryAfter when to come back; zero or negative for no word of it
	 */
	void own(int status, String reason, Duration retryAfter);

	/**
	 * Begins a stream.
	 * @param status the endpoint's status
	 * @param headers its end-to-end headers
	 */
	void begin(int status, List<Header> headers);

	/**
	 * Sends a piece of the stream at once.
	 * @param data the bytes
	 * @return false while the caller doesn't read
	 */
	boolean write(byte[] data);

	/**
	 * Sets what to run when a caller that didn't read reads again.
	 * @param task the task
	 */
	void onReadsAgain(Runnable task);

	/**
	 * Ends the stream as complete.
	 */
	void end();

	/**
	 * Breaks the stream off so that it can't look complete.
	 */
	void abort();

}
