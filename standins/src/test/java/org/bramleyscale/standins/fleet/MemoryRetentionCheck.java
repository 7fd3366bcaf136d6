package org.bramleyscale.standins.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.bramleyscale.EndpointId;
import org.bramleyscale.RequestId;
import org.bramleyscale.internal.endpoint.HoldTimes;
import org.bramleyscale.standins.engine.Fault;

/**
 * Measures for how long engines keep memory for requests that have ended for their
 * callers.
 *
 * <p>
 * A frozen engine can free nothing, so the time for which it is frozen does not count.
 * Confined to the test's thread.
 */
final class MemoryRetentionCheck {

	private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);

	private final Fleet fleet;

	private final Violations violations;

	private final Set<String> finished = new HashSet<>();

	private final Map<String, Duration> retained = new HashMap<>();

	MemoryRetentionCheck(Fleet fleet, Violations violations) {
		this.fleet = fleet;
		this.violations = violations;
		fleet.scheduler().repeat(CHECK_INTERVAL, this::inspect);
	}

	/**
	 * Records that no caller waits for a request any more.
	 * @param request the request
	 */
	void finished(RequestId request) {
		this.finished.add(request.toString());
	}

	/**
	 * The longest time for which an engine kept memory for a request that had ended for
	 * its caller.
	 * @return the time
	 */
	Duration longestRetention() {
		return this.retained.values().stream().max(Duration::compareTo).orElse(Duration.ZERO);
	}

	private void inspect() {
		for (EndpointId name : this.fleet.endpoints().engineNames()) {
			boolean responsive = !this.fleet.endpoints().dead(name)
					&& !this.fleet.endpoints().engine(name).has(Fault.FREEZE);
			if (responsive) {
				this.fleet.endpoints()
					.engine(name)
					.requestsInMemory()
					.stream()
					.filter(this.finished::contains)
					.forEach((request) -> recordRetention(name + " for " + request));
			}
		}
	}

	private void recordRetention(String memory) {
		Duration previous = this.retained.getOrDefault(memory, Duration.ZERO);
		Duration total = previous.plus(CHECK_INTERVAL);
		this.retained.put(memory, total);
		if (previous.compareTo(HoldTimes.MAX_RETENTION) <= 0 && total.compareTo(HoldTimes.MAX_RETENTION) > 0) {
			this.violations.add("memory is still in use after " + total + " at " + memory);
		}
	}

}
