package org.bramleyscale.internal.gateway.request;

/**
 * Receives the response to a request sent to an endpoint, or its failure.
 *
 * <p>
 * Called on the scheduler's thread, never within the call that sends the request. Exactly
 * one of {@link #complete}, {@link #closed} and {@link #failed} is called last, unless
 * the exchange was cancelled.
 */
public interface BackendListener {

	/**
	 * Called with the head of the endpoint's response to this request.
	 * @param head the head
	 */
	void head(BackendHead head);

	/**
	 * Called with a part of the response body.
	 * @param data the bytes
	 */
	void data(byte[] data);

	/**
	 * Called when the response is complete according to its own framing.
	 */
	void complete();

	/**
	 * Called when the endpoint has closed the connection in an orderly way after a
	 * response that shows no length. The endpoint may have finished the response or have
	 * broken it off: only its content can tell.
	 */
	void closed();

	/**
	 * Called when there is no response, or no more of it.
	 * @param sent true if the endpoint may have received the request
	 * @param cause the cause of the failure
	 */
	void failed(boolean sent, String cause);

}
