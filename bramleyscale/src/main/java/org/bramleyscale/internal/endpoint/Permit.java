package org.bramleyscale.internal.endpoint;

import org.bramleyscale.internal.configuration.EndpointEntry;

/**
 * A permit to use part of an endpoint's grant for one request.
 *
 * <p>
 * Confined to the scheduler's thread. Invariant: {@link #close()} releases the part
 * exactly once, however often it is called.
 */
public interface Permit extends AutoCloseable {

	EndpointEntry endpoint();

	/**
	 * Reports that the first token has arrived, so that the prompt no longer counts as
	 * waiting for prefill.
	 */
	void firstTokenReceived();

	@Override
	void close();

}
