package org.bramleyscale.internal.gateway.catalog;

import java.time.Duration;

/**
 * The operator's targets for the streams of one service, combined over all routes that
 * lead to it.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param strictestPause the minimum of the routes' longest acceptable pauses between
 * events
 * @param slowestTarget the maximum of the routes' target times to the first event
 */
public record StreamTargets(Duration strictestPause, Duration slowestTarget) {

	/** The targets of a service without streams, or whose routes define none. */
	public static final StreamTargets NONE = new StreamTargets(Duration.ofSeconds(1), Duration.ofSeconds(1));

	private static final StreamTargets UNSET = new StreamTargets(Duration.ZERO, Duration.ZERO);

	/**
	 * Combines the targets of routes.
	 * @param routes the routes of a service
	 * @return the strictest pause and the slowest target of its streaming routes
	 */
	static StreamTargets of(Iterable<Route> routes) {
		StreamTargets targets = UNSET;
		for (Route route : routes) {
			if (route.streaming() && !route.longestPause().isZero()) {
				targets = new StreamTargets(shorter(targets.strictestPause, route.longestPause()),
						longer(targets.slowestTarget, route.targetLatency()));
			}
		}
		return targets.equals(UNSET) ? NONE : targets;
	}

	private static Duration shorter(Duration known, Duration next) {
		return (known.isZero() || next.compareTo(known) < 0) ? next : known;
	}

	private static Duration longer(Duration known, Duration next) {
		return (next.compareTo(known) > 0) ? next : known;
	}

}
