package org.bramleyscale.internal.gateway.request;

/**
 * Hears what becomes of a request sent to an endpoint.
 *
 * <p>
 * Called on the scheduler's thread, never within the call that sends. Exactly one of
 * {@link #complete} and {@link #failed} comes last, unless the exchange was cancelled.
 */
public interface BackendListener {

	/**
	 * The head of the endpoint's answer to this very request.
	 * @param head the head
	 */
	void head(BackendHead head);

	/**
	 * A piece of the answer's body.
	 * @param data the bytes
	 */
	void data(byte[] data);

	/**
	 * The answer is complete by its own framing.
	 */
	void complete();

	/**
	 * There will be no (further) answer.
	 * @param sent true if the endpoint may have got the request
	 * @param cause what happened
	 */
	void failed(boolean sent, String cause);

}
