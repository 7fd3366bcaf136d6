package org.bramleyscale.internal.request.forward;

import java.time.Duration;

import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Notifies the entry daemon that the request did not complete.
 *
 * @param forward the forward number, assigned by the entry daemon
 * @param code the error code
 * @param ran whether the request ran
 * @param step the step that failed
 * @param peer the peer involved
 * @param message the error message
 * @param retryAfterMillis the delay before a retry, or -1 if a retry can't help
 */
public record ForwardFailed(long forward, ErrorCode code, Ran ran, Step step, String peer, String message,
		long retryAfterMillis) implements PeerMessage {

	private static final int NO_RETRY_AFTER = -1;

	static ForwardFailed of(long forward, ServingException failure) {
		return new ForwardFailed(forward, failure.code(), failure.ran(), failure.step(), failure.peer(),
				failure.getMessage(), failure.retryAfter().map(Duration::toMillis).orElse((long) NO_RETRY_AFTER));
	}

	/**
	 * Converts this message to the failure that the entry daemon reports.
	 * @param home the name of the home daemon, which replaces the peer {@code self}
	 * @return the failure
	 */
	ServingException failure(String home) {
		String resolvedPeer = ("self".equals(this.peer)) ? home : this.peer;
		Duration retryAfter = (this.retryAfterMillis != NO_RETRY_AFTER) ? Duration.ofMillis(this.retryAfterMillis)
				: null;
		return new ServingException(this.code, this.ran, this.step, resolvedPeer, this.message, retryAfter);
	}

}
