package org.bramleyscale.internal.gateway.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks the notices that one endpoint sent to each daemon, and the requests that arrived
 * from there afterwards. A restarted daemon counts as a new one without notices. Confined
 * to the test's thread.
 */
final class NoticeTracker {

	/**
	 * Time in which requests that were sent before the notice was received may still
	 * arrive.
	 */
	private static final Duration IN_FLIGHT_GRACE = Duration.ofMillis(500);

	/** Maximum number of requests during one back-off that doesn't violate it. */
	private static final int MAX_TOLERATED = 2;

	private final Map<SimulatedDaemon, Long> leavingReported = new HashMap<>();

	private final Map<SimulatedDaemon, List<Backoff>> backoffs = new HashMap<>();

	private int arrivalsAfterLeaving;

	void leavingReported(SimulatedDaemon daemon, long nanos) {
		this.leavingReported.putIfAbsent(daemon, nanos);
	}

	void backoffRequested(SimulatedDaemon daemon, long nanos, Duration backoff) {
		this.backoffs.computeIfAbsent(daemon, (key) -> new ArrayList<>())
			.add(new Backoff(nanos + IN_FLIGHT_GRACE.toNanos(), nanos + backoff.toNanos()));
	}

	/**
	 * Records the arrival of a request.
	 * @param from the daemon that sent it
	 * @param callerSentAt when its caller sent it
	 * @param nanos the current time
	 */
	void arrives(SimulatedDaemon from, long callerSentAt, long nanos) {
		Long reportedAt = this.leavingReported.get(from);
		if (reportedAt != null && callerSentAt - reportedAt > GatewayFleet.LEAVING_GRACE.toNanos()) {
			this.arrivalsAfterLeaving++;
		}
		this.backoffs.getOrDefault(from, List.of()).forEach((backoff) -> backoff.arrives(nanos));
	}

	/**
	 * Counts the requests that arrived from a daemon although it had forwarded the
	 * endpoint's leaving notice {@link GatewayFleet#LEAVING_GRACE} before the caller sent
	 * them.
	 * @return the number of requests
	 */
	int arrivalsAfterLeaving() {
		return this.arrivalsAfterLeaving;
	}

	/**
	 * Counts the back-offs during which more than {@link #MAX_TOLERATED} requests
	 * arrived.
	 * @return the number of back-offs
	 */
	int violatedBackoffs() {
		return (int) this.backoffs.values()
			.stream()
			.flatMap(List::stream)
			.filter((backoff) -> backoff.arrivals > MAX_TOLERATED)
			.count();
	}

	/**
	 * Counts the daemons that were asked to back off.
	 * @return the number of daemons
	 */
	int daemonsAskedToBackOff() {
		return this.backoffs.size();
	}

	/**
	 * A requested back-off.
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
