package org.bramleyscale.internal.gateway.http;

import java.time.Duration;

/**
 * The TCP options by which the operating system detects that the other end of a
 * connection is gone.
 *
 * <p>
 * On Linux the user timeout, if set, also decides when keep-alive probes give up, and the
 * number of probes counts for nothing. Immutable and safe for use by multiple threads.
 *
 * @param userTimeout how long sent bytes, or probes since the last received bytes, may
 * remain unacknowledged
 * @param idle the idle time before the first probe, whole seconds
 * @param interval the time between probes, whole seconds
 */
record TcpLiveness(Duration userTimeout, Duration idle, Duration interval) {

	/**
	 * The shortest silence of the other end, in the worst case, after which an idle
	 * connection is closed.
	 * @return the time from the first unanswered packet that could have been sent to the
	 * probe timer at which the connection is given up
	 */
	Duration shortestFatalSilence() {
		Duration givenUp = this.idle.plus(this.interval);
		while (givenUp.compareTo(this.userTimeout) < 0) {
			givenUp = givenUp.plus(this.interval);
		}
		// The silence may have begun just before the first probe.
		Duration sinceFirstProbe = givenUp.minus(this.idle);
		return (sinceFirstProbe.compareTo(this.userTimeout) < 0) ? sinceFirstProbe : this.userTimeout;
	}

	int userTimeoutMillis() {
		return (int) this.userTimeout.toMillis();
	}

	int idleSeconds() {
		return (int) this.idle.toSeconds();
	}

	int intervalSeconds() {
		return (int) this.interval.toSeconds();
	}

}
