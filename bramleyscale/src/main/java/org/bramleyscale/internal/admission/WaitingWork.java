package org.bramleyscale.internal.admission;

import java.time.Duration;

import org.bramleyscale.ServiceName;

/**
 * A summary of the admitted requests of one service that haven't been started.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param service the service
 * @param urgent whether any of them was admitted as urgent
 * @param requests the number of waiting requests, at least one
 * @param oldest how long the oldest has waited
 */
public record WaitingWork(ServiceName service, boolean urgent, int requests, Duration oldest) {

	public WaitingWork {
		if (requests < 1 || oldest.isNegative()) {
			throw new IllegalArgumentException("waiting work of '" + service
					+ "' must have at least 1 request and no negative age, was " + requests + " requests, " + oldest);
		}
	}

	WaitingWork merge(WaitingWork other) {
		Duration longer = (this.oldest.compareTo(other.oldest) >= 0) ? this.oldest : other.oldest;
		return new WaitingWork(this.service, this.urgent || other.urgent, this.requests + other.requests, longer);
	}

}
