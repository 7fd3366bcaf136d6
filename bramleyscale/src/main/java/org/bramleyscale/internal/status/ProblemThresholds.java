package org.bramleyscale.internal.status;

import java.time.Duration;

/**
 * From when on a figure counts as a problem.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param daemonSilence how long a daemon may be silent
 * @param platformSilence how long the platform may be silent
 * @param reportAge how old an endpoint's report may be
 * @param queueAge how long a request may wait for room
 * @param kvPercent how much of its KV memory an engine may use, in percent
 * @param failureWindow how far back failures are counted
 */
public record ProblemThresholds(Duration daemonSilence, Duration platformSilence, Duration reportAge, Duration queueAge,
		int kvPercent, Duration failureWindow) {

	/**
	 * Thresholds that suit a fleet whose heartbeats come each second and in which an idle
	 * endpoint's report is up to five seconds old.
	 */
	public static final ProblemThresholds DEFAULT = new ProblemThresholds(Duration.ofSeconds(3), Duration.ofSeconds(10),
			Duration.ofSeconds(15), Duration.ofSeconds(5), 95, Duration.ofMinutes(1));

}
