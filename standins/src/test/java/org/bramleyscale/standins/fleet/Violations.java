package org.bramleyscale.standins.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.bramleyscale.EndpointId;
import org.bramleyscale.internal.time.Clock;
import org.bramleyscale.standins.engine.InMemoryEndpoints;

/**
 * What went wrong in a run, and what endpoints did, to compare callers' answers with.
 *
 * <p>
 * Confined to the test's thread.
 */
final class Violations implements InMemoryEndpoints.Observer {

	private static final int MOST = 12;

	private static final double NANOS_PER_SECOND = 1e9;

	private final List<String> found = new ArrayList<>();

	private final Set<String> worked = new HashSet<>();

	private final Map<EndpointId, Long> noWorkAfter = new HashMap<>();

	private Clock clock;

	void clock(Clock newClock) {
		this.clock = newClock;
	}

	void add(String violation) {
		if (this.found.size() < MOST) {
			this.found.add(String.format("at %.3f s: %s", this.clock.nanos() / NANOS_PER_SECOND, violation));
		}
	}

	List<String> found() {
		return this.found;
	}

	/**
	 * Whether an engine made tokens for a request.
	 * @param requestId the request's id
	 * @return true if one did
	 */
	boolean worked(String requestId) {
		return this.worked.contains(requestId);
	}

	/**
	 * Forbids new work at an endpoint from a time on.
	 * @param endpoint the endpoint
	 * @param nanos the time, or the longest one to allow all
	 */
	void noWorkAfter(EndpointId endpoint, long nanos) {
		this.noWorkAfter.put(endpoint, nanos);
	}

	@Override
	public void taken(EndpointId endpoint, String requestId) {
		long limit = this.noWorkAfter.getOrDefault(endpoint, Long.MAX_VALUE);
		if (this.clock.nanos() > limit) {
			add("leaving endpoint " + endpoint + " got new work for " + requestId);
		}
	}

	@Override
	public void worked(EndpointId endpoint, String requestId) {
		this.worked.add(requestId);
	}

}
