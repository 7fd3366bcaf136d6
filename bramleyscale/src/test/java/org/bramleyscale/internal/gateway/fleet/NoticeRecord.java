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
final class NoticeRecord {

	/** What daemons had sent before they heard may still arrive. */
	private static final Duration CROSSING = Duration.ofMillis(500);

	/** So many requests in one rest are borne. */
	private static final int BORNE = 2;

	private final Map<PlayedDaemon, Long> leavingPassedOn = new HashMap<>();

	private final Map<PlayedDaemon, List<Rest>> rests = new HashMap<>();

	private int latest;

	void leavingPassedOn(PlayedDaemon daemon, long nanos) {
		this.leavingPassedOn.putIfAbsent(daemon, nanos);
	}

	void restAsked(PlayedDaemon daemon, long nanos, Duration rest) {
		this.rests.computeIfAbsent(daemon, (key) -> new ArrayList<>())
			.add(new Rest(nanos + CROSSING.toNanos(), nanos + rest.toNanos()));
	}

	/**
	 * Notes a request that arrives.
	 * @param from the daemon that sent it
	 * @param callerSent when its caller sent it
	 * @param nanos now
	 */
	void arrives(PlayedDaemon from, long callerSent, long nanos) {
		Long passedOn = this.leavingPassedOn.get(from);
		if (passedOn != null && callerSent - passedOn > GatewayFleet.DRAINS.toNanos()) {
			this.latest++;
		}
		this.rests.getOrDefault(from, List.of()).forEach((rest) -> rest.arrives(nanos));
	}

	/**
	 * Requests that came though their daemon had passed on long before that the endpoint
	 * leaves.
	 * @return the number
	 */
	int afterLeaving() {
		return this.latest;
	}

	/**
	 * Rests in which more than a few requests came.
	 * @return the number
	 */
	int brokenRests() {
		return (int) this.rests.values().stream().flatMap(List::stream).filter((rest) -> rest.got > BORNE).count();
	}

	/**
	 * How many daemons were asked for rest.
	 * @return the number
	 */
	int askedForRest() {
		return this.rests.size();
	}

	/**
	 * One rest that was asked for.
	 */
	private static final class Rest {

		private final long from;

		private final long until;

		private int got;

		private Rest(long from, long until) {
			this.from = from;
			this.until = until;
		}

		private void arrives(long nanos) {
			if (nanos >= this.from && nanos < this.until) {
				this.got++;
			}
		}

	}

}
