package org.bramleyscale.internal.endpoint;

import org.bramleyscale.internal.configuration.EndpointEntry;

/**
 * The right to use part of an endpoint's grant for one request.
 *
 * <p>
 * Confined to the scheduler's thread. Invariant: {@link #close()} gives the part back
 * exactly once, however often it is called.
 */
public interface Permit extends AutoCloseable {

	EndpointEntry endpoint();

	/**
	 * Tells that the first token arrived, so the prompt no longer waits to be computed.
	 */
	void firstToken();

	@Override
	void close();

}
