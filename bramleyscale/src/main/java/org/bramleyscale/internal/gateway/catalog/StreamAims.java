package org.bramleyscale.internal.gateway.catalog;

import java.time.Duration;

/**
 * What the operator wants of the streams of one service, over all routes that lead to it.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param strictestPause the shortest of the routes' longest pauses between events
 * @param slowestTarget the longest of the routes' times to the first event
 */
public record StreamAims(Duration strictestPause, Duration slowestTarget) {

	/** Of a service without streams, or whose routes say nothing. */
	public static final StreamAims NONE = new StreamAims(Duration.ofSeconds(1), Duration.ofSeconds(1));

	private static final StreamAims UNSET = new StreamAims(Duration.ZERO, Duration.ZERO);

	/**
	 * The aims of a number of routes.
	 * @param routes the routes of a service
	 * @return what the strictest of them asks
	 */
	static StreamAims of(Iterable<Route> routes) {
		StreamAims aims = UNSET;
		for (Route route : routes) {
			if (route.streaming() && !route.longestPause().isZero()) {
				aims = new StreamAims(shorter(aims.strictestPause, route.longestPause()),
						longer(aims.slowestTarget, route.targetLatency()));
			}
		}
		return aims.equals(UNSET) ? NONE : aims;
	}

	private static Duration shorter(Duration known, Duration next) {
		return (known.isZero() || next.compareTo(known) < 0) ? next : known;
	}

	private static Duration longer(Duration known, Duration next) {
		return (next.compareTo(known) > 0) ? next : known;
	}

}
