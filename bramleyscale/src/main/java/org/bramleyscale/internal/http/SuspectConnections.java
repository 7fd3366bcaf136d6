package org.bramleyscale.internal.http;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.bramleyscale.internal.time.Clock;

/**
 * Remembers to which endpoints kept connections can't be trusted for now.
 *
 * <p>
 * Open connections can go silent for good while new ones work. Calls over the kept ones
 * would then fail one after the other, each only at its time limit, although the endpoint
 * is well. After one failure the kept connections of that endpoint are left alone until
 * the pool has closed them as idle. Confined to the scheduler's thread.
 */
final class SuspectConnections {

	private static final Duration MARGIN = Duration.ofSeconds(1);

	private final Clock clock;

	private final long quarantine;

	private final Map<String, Long> suspectUntil = new HashMap<>();

	/**
	 * Creates an empty memory.
	 * @param clock the time
	 * @param poolIdleTimeout how long a pool keeps a connection that isn't used
	 */
	SuspectConnections(Clock clock, Duration poolIdleTimeout) {
		this.clock = clock;
		this.quarantine = poolIdleTimeout.plus(MARGIN).toNanos();
	}

	void failed(String address) {
		this.suspectUntil.put(address, this.clock.nanos() + this.quarantine);
	}

	boolean suspect(String address) {
		if (this.suspectUntil.isEmpty()) {
			return false;
		}
		Long until = this.suspectUntil.get(address);
		if (until == null) {
			return false;
		}
		if (this.clock.nanos() - until >= 0) {
			this.suspectUntil.remove(address);
			return false;
		}
		return true;
	}

}
