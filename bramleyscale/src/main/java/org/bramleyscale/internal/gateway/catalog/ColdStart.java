package org.bramleyscale.internal.gateway.catalog;

import java.time.Duration;

/**
 * What the endpoints of a service tolerate while they are cold.
 *
 * <p>
 * How long a single endpoint remains cold is part of its entry; the duration here is the
 * operator's figure for the time after a start. Immutable and safe for use by multiple
 * threads.
 *
 * @param perSecond the requests a second that a cold endpoint tolerates from all daemons
 * together, or 0 if cold endpoints are treated like others
 * @param duration how long an endpoint is cold after a start
 */
public record ColdStart(double perSecond, Duration duration) {

	/** Cold endpoints are treated like others. */
	public static final ColdStart NONE = new ColdStart(0, Duration.ZERO);

	public ColdStart {
		if (!(perSecond >= 0) || duration.isNegative()) {
			throw new IllegalArgumentException(
					"a cold start needs a rate and a duration >= 0, was " + perSecond + " a second for " + duration);
		}
	}

	/**
	 * Whether cold endpoints are sent fewer requests.
	 * @return true if they tolerate a limited rate
	 */
	public boolean limited() {
		return this.perSecond > 0;
	}

}
