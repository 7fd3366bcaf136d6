package org.bramleyscale.internal.gateway.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What one endpoint said of itself to which daemon, and what reached it from there
 * afterwards. A daemon that has started anew was told nothing. Confined to the test's
 * thread.
 */
final class NoticeTracker {

	/** What daemons had sent before they heard may still arrive. */
	private static final Duration IN_FLIGHT_GRACE = Duration.ofMillis(500);

	/** So many requests in one rest are borne. */
	private static final int MAX_TOLERATED = 2;

	private final Map<SimulatedDaemon, Long> leavingReported = new HashMap<>();

	private final Map<SimulatedDaemon, List<Backoff>> backoffs = new HashMap<>();

	private int arrivalsAfterLeaving;

	void leavingReported(SimulatedDaemon daemon, long nanos) {
		this.leavingReported.putIfAbsent(daemon, nanos);
	}

	void backoffRequested(SimulatedDaemon daemon, long nanos, Duration rest) {
		this.backoffs.computeIfAbsent(daemon, (key) -> new ArrayList<>())
			.add(new Backoff(nanos + IN_FLIGHT_GRACE.toNanos(), nanos + rest.toNanos()));
	}

	/**
	 * Notes a request that arrives.
	 * @param from the daemon that sent it
	 * @param callerSent when its caller sent it
	 * @param nanos now
	 */
	void arrives(SimulatedDaemon from, long callerSent, long nanos) {
		Long passedOn = this.leavingReported.get(from);
		if (passedOn != null && callerSent - passedOn > GatewayFleet.LEAVING_GRACE.toNanos()) {
			this.arrivalsAfterLeaving++;
		}
		this.backoffs.getOrDefault(from, List.of()).forEach((rest) -> rest.arrives(nanos));
	}

	/**
	 * Requests that came though their daemon had passed on long before that the endpoint
	 * leaves.
	 * @return the number
	 */
	int arrivalsAfterLeaving() {
		return this.arrivalsAfterLeaving;
	}

	/**
	 * Rests in which more than a few requests came.
	 * @return the number
	 */
	int violatedBackoffs() {
		return (int) this.backoffs.values()
			.stream()
			.flatMap(List::stream)
			.filter((rest) -> rest.arrivals > MAX_TOLERATED)
			.count();
	}

	/**
	 * How many daemons were asked for rest.
	 * @return the number
	 */
	int daemonsAskedToBackOff() {
		return this.backoffs.size();
	}

	/**
	 * One rest that was asked for.
	 */
	private static final class Backoff {

		private final long from;

		private final long until;

		private int arrivals;

		private Backoff(long from, long until) {
			this.from = from;
			this.until = until;
		}

		private void arrives(long nanos) {
			if (nanos >= this.from && nanos < this.until) {
				this.arrivals++;
			}
		}

	}

}
