package org.bramleyscale.internal.gateway.request;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import org.jboss.logging.Logger;

/**
 * All requests for which this daemon owes its callers a response.
 *
 * <p>
 * Invariant: an open request is a member wherever it is, so that a planned stop that asks
 * here forgets none. Confined to the scheduler's thread.
 */
public final class OpenRequests {

	private static final Logger logger = Logger.getLogger(OpenRequests.class);

	private final Set<OpenRequest> requests = new LinkedHashSet<>();

	/**
	 * Adds a request; has no effect if it is a member.
	 * @param request the request
	 */
	public void add(OpenRequest request) {
		this.requests.add(request);
	}

	/**
	 * Removes a request; has no effect if it isn't a member.
	 * @param request the request
	 */
	public void remove(OpenRequest request) {
		this.requests.remove(request);
	}

	/**
	 * Returns the number of open requests.
	 * @return the number
	 */
	public int count() {
		return this.requests.size();
	}

	/**
	 * Tells all requests that the daemon stops.
	 * @param untilExit the time until the daemon exits
	 */
	public void daemonStops(Duration untilExit) {
		forEach((request) -> request.daemonStops(untilExit));
	}

	/**
	 * Tells all requests that the daemon exits.
	 */
	public void daemonExits() {
		forEach(OpenRequest::daemonExits);
	}

	private void forEach(Consumer<OpenRequest> task) {
		for (OpenRequest request : List.copyOf(this.requests)) {
			try {
				task.accept(request);
			}
			catch (RuntimeException ex) {
				// The others must end all the same.
				logger.errorf(ex, "Request %s failed while the daemon stops", request);
			}
		}
	}

}
