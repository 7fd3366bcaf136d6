package org.bramleyscale.internal.request.forward;

import java.time.Duration;

import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Tells the entry that the request did not complete.
 *
 * @param forward the number that the entry gave this forward
 * @param code the reason
 * @param ran whether it ran
 * @param step where it ended
 * @param peer the peer involved
 * @param message the reason in words
 * @param retryAfterMillis when to come back, or -1 if that can't help
 */
public record ForwardFailed(long forward, ErrorCode code, Ran ran, Step step, String peer, String message,
		long retryAfterMillis) implements PeerMessage {

	private static final int NEVER = -1;

	static ForwardFailed of(long forward, ServingException failure) {
		return new ForwardFailed(forward, failure.code(), failure.ran(), failure.step(), failure.peer(),
				failure.getMessage(), failure.retryAfter().map(Duration::toMillis).orElse((long) NEVER));
	}

	/**
	 * The failure as the entry reports it.
	 * @param home the daemon that sent this, named in place of its {@code self}
	 * @return the failure
	 */
	ServingException failure(String home) {
		String where = ("self".equals(this.peer)) ? home : this.peer;
		Duration retryAfter = (this.retryAfterMillis != NEVER) ? Duration.ofMillis(this.retryAfterMillis) : null;
		return new ServingException(this.code, this.ran, this.step, where, this.message, retryAfter);
	}

}
