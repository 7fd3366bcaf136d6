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
 * The violated invariants of a run, and the work that endpoints did, against which the
 * results of callers are checked.
 *
 * <p>
 * Confined to the test's thread.
 */
final class Violations implements InMemoryEndpoints.Observer {

	private static final int MAX_REPORTED = 12;

	private static final double NANOS_PER_SECOND = 1e9;

	private final List<String> found = new ArrayList<>();

	private final Set<String> requestsWithTokens = new HashSet<>();

	private final Map<EndpointId, Long> noWorkAfter = new HashMap<>();

	private Clock clock;

	void clock(Clock newClock) {
		this.clock = newClock;
	}

	void add(String violation) {
		if (this.found.size() < MAX_REPORTED) {
			this.found.add(String.format("at %.3f s: %s", this.clock.nanos() / NANOS_PER_SECOND, violation));
		}
	}

	List<String> found() {
		return this.found;
	}

	/**
	 * Whether an engine generated tokens for a request.
	 * @param requestId the request's id
	 * @return true if one did
	 */
	boolean generatedTokens(String requestId) {
		return this.requestsWithTokens.contains(requestId);
	}

	/**
	 * Forbids new work at an endpoint from a given time on.
	 * @param endpoint the endpoint
	 * @param nanos the time, or the maximum value to permit all work
	 */
	void noWorkAfter(EndpointId endpoint, long nanos) {
		this.noWorkAfter.put(endpoint, nanos);
	}

	@Override
	public void taken(EndpointId endpoint, String requestId) {
		long limit = this.noWorkAfter.getOrDefault(endpoint, Long.MAX_VALUE);
		if (this.clock.nanos() > limit) {
			add("leaving endpoint " + endpoint + " received new work for " + requestId);
		}
	}

	@Override
	public void worked(EndpointId endpoint, String requestId) {
		this.requestsWithTokens.add(requestId);
	}

}
