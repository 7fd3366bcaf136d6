package org.bramleyscale.internal.admission;

import java.time.Duration;

import org.bramleyscale.ServiceName;

/**
 * The admitted requests of one service that haven't gone on.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param service the service
 * @param urgent whether they were admitted as urgent
 * @param requests how many wait, at least one
 * @param oldest for how long the oldest has waited
 */
public record WaitingWork(ServiceName service, boolean urgent, int requests, Duration oldest) {

	public WaitingWork {
		if (requests < 1 || oldest.isNegative()) {
			throw new IllegalArgumentException(
					"waiting work of '" + service + "' must not be empty or new, was " + requests + ", " + oldest);
		}
	}

	WaitingWork and(WaitingWork other) {
		Duration longer = (this.oldest.compareTo(other.oldest) >= 0) ? this.oldest : other.oldest;
		return new WaitingWork(this.service, this.urgent || other.urgent, this.requests + other.requests, longer);
	}

}
