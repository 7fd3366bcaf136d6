package org.bramleyscale.internal.gateway.request;

import java.time.Duration;

/**
 * A request of a caller whose response isn't on the wire yet, as a planned stop sees it.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface OpenRequest {

	/**
	 * Called repeatedly while the daemon stops. A request that no endpoint has, and that
	 * can't be answered before the daemon exits, is refused while its caller has time to
	 * go elsewhere.
	 * @param untilExit the time until the daemon exits
	 */
	void daemonStops(Duration untilExit);

	/**
	 * Called once shortly before the daemon exits, if the request is still open: ends it
	 * with a response that is true, or aborts what has begun.
	 */
	void daemonExits();

}
