package org.bramleyscale.internal.gateway.request;

import java.time.Duration;
import java.util.List;

/**
 * The response to a caller: exactly one, sent whole or as a stream.
 *
 * <p>
 * Invariant: a response ends exactly once, on the wire or by an abort; a call that would
 * make it invalid, such as a second head, aborts it. Confined to the scheduler's thread.
 * Calls after the end of the response, or after the caller has disconnected, have no
 * effect.
 */
public interface CallerReply {

	/**
	 * Relays an endpoint's complete response.
	 * @param status its status
	 * @param headers its end-to-end headers
	 * @param body its body
	 */
	void sendResponse(int status, List<Header> headers, byte[] body);

	/**
	 * Sends a response that the daemon itself produces.
	 * @param status the status
	 * @param reason the reason, for the caller's log
	 * @param retryAfter when the caller should retry; not sent if zero or negative
	 */
	void sendOwnResponse(int status, String reason, Duration retryAfter);

	/**
	 * Starts a streamed response.
	 * @param status the endpoint's status
	 * @param headers its end-to-end headers
	 */
	void startStream(int status, List<Header> headers);

	/**
	 * Sends a part of the stream without delay.
	 * @param data the bytes
	 * @return false while the caller doesn't read
	 */
	boolean write(byte[] data);

	/**
	 * Sets the task to run when the caller reads again after it had stopped reading.
	 * @param task the task
	 */
	void onWritable(Runnable task);

	/**
	 * Sets the task to run once the response is on the wire or aborted, or its caller has
	 * disconnected.
	 * @param task the task, run exactly once
	 */
	void onEnd(Runnable task);

	/**
	 * Completes the stream.
	 */
	void endStream();

	/**
	 * Aborts the response, unless it is on the wire, in such a way that it can't be taken
	 * for complete.
	 */
	void abort();

}
